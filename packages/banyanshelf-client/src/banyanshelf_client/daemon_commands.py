"""Commands that query the daemons' operator interfaces over HTTP."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode, urlsplit

import treq
from twisted.internet.defer import Deferred, gatherResults

from banyanshelf_client.output import ExitCode, Output

RESPONSE_TIMEOUT_S = 5.0


async def _get_json(address: str, path: str) -> dict[str, Any]:
    try:
        response = await treq.get(f"http://{address}{path}", timeout=RESPONSE_TIMEOUT_S)
        content = await treq.json_content(response)
    except (
        Exception
    ) as error:  # Whatever the error is, the daemon counts as unreachable.
        return {"unreachable": f"{type(error).__name__}: {error}"}
    return dict(content)


async def _get_json_from_all(addresses: list[str], path: str) -> list[dict[str, Any]]:

    waiting = [
        Deferred.fromCoroutine(_get_json(address, path)) for address in addresses
    ]
    return list(await gatherResults(waiting))


async def show_status(output: Output, addresses: list[str]) -> ExitCode:
    """Print one row per daemon.

    The exit code is 1 unless every daemon is serving and all have the same version.
    """
    statuses = await _get_json_from_all(addresses, "/status")
    rows = [
        _status_row(address, status)
        for address, status in zip(addresses, statuses, strict=True)
    ]
    output.table("daemons", rows)
    versions = {row["version"] for row in rows}
    all_serving = all(row["state"] == "serving" for row in rows)
    return ExitCode.DONE if all_serving and len(versions) == 1 else ExitCode.REFUSED


def _status_row(address: str, status: dict[str, Any]) -> dict[str, Any]:
    if "unreachable" in status:
        return {
            "daemon": address,
            "state": "unreachable: start it or correct --daemons",
            "version": None,
            "members": None,
            "coordinates": None,
            "shards": None,
            "store": None,
        }
    coordinators = status.get("coordinators", {})
    coordinated_services = [
        name for name, owner in coordinators.items() if owner == status["member_id"]
    ]
    shards = [each for each in status["claims"]["shards"] if each["owned"]]
    return {
        "daemon": status["member_id"],
        "state": status["state"],
        "version": status["version"],
        "members": len(status["members"]),
        "coordinates": ", ".join(sorted(coordinated_services)),
        "shards": len(shards),
        "store": "lease held" if status["has_lease"] else "no lease",
    }


async def show_upstreams(output: Output, addresses: list[str]) -> ExitCode:
    """Print each service's upstreams as reported by the service's coordinator."""
    rows = []
    for status in await _get_json_from_all(addresses, "/status"):
        for service, upstreams in sorted(status.get("upstreams", {}).items()):
            if status.get("coordinators", {}).get(service) != status["member_id"]:
                continue
            rows += [
                {"service": service, "upstream": upstream_id, **upstream}
                for upstream_id, upstream in sorted(upstreams.items())
            ]
    output.table("upstreams", rows)
    return ExitCode.DONE


async def explain_request(
    output: Output,
    addresses: list[str],
    url: str,
    method: str,
) -> ExitCode:
    """Print the service, route and usable upstreams for a request."""
    parts = urlsplit(url if "//" in url else f"//{url}")
    query = urlencode(
        {"host": parts.netloc, "path": parts.path or "/", "method": method},
    )
    answer = await _get_json(addresses[0], f"/explain?{query}")
    if "error" in answer or "unreachable" in answer:
        output.error(str(answer.get("error") or answer["unreachable"]))
        return ExitCode.REFUSED
    decision = answer["decision"]
    service = decision["service_name"]
    kind = "idempotent" if decision["idempotent"] else "non-idempotent"
    key = ", an idempotency key is required" if decision["require_key"] else ""
    usable = [each["id"] for each in answer["upstreams"] if each["usable"]]
    output.result(
        f"{method} {url} goes to service {service!r} by path prefix "
        f"{decision['path_prefix']!r} ({kind}{key}); upstreams: {', '.join(usable)}",
        **answer,
    )
    return ExitCode.DONE
