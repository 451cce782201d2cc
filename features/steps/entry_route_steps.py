"""Steps for entry routes."""

import json

from behave import then

from banyanshelf_core.errors import RequestError, TextError
from banyanshelf_core.matching import RequestMatcher
from banyanshelf_core.text import parse_text
from banyanshelf_platform.records import RetryRules, decode_configuration


@then(
    '{count:d} requests for "{target}" from {starts:d} starts go to "{service}" '
    "in {low:d} to {high:d} cases"
)
def step_split(context, count, target, starts, service, low, high):
    host, _, path = target.partition("/")
    for start in range(starts):
        matcher = RequestMatcher.from_text(
            parse_text(context.matcher_text), start / starts
        )
        names = [
            matcher.match(host, f"/{path}", "GET", {}).service_name
            for _ in range(count)
        ]
        assert low <= names.count(service) <= high, (start, names.count(service))


@then('the routes "{routes}" are refused because of "{problem}"')
def step_refused(context, routes, problem):
    try:
        parse_text(f"routes = {routes}\n[services.desk]\n")
    except TextError as error:
        assert problem in str(error), error
    else:
        raise AssertionError("the text was accepted")


def matchers(host, prefixes):
    """Return a matcher for the routes in the native text and in a platform record."""
    routes = [
        f'[[routes]]\nhost = "{host}"\npath_prefix = "{prefix}"\nservice = "desk"\n'
        for prefix in prefixes
    ]
    text = "[services.desk]\npath_prefixes = []\n" + "".join(routes)
    rows = [[host, prefix, "safe", "desk"] for prefix in prefixes]
    record = {
        "version": 1,
        "routes": {"columns": ["host", "prefix", "kind", "service"], "rows": rows},
        "services": {"columns": ["name"], "rows": [["desk"]]},
    }
    decoded = decode_configuration(json.dumps(record).encode(), RetryRules(0.1, 5))
    return [RequestMatcher.from_text(each) for each in (parse_text(text), decoded.text)]


def matched_prefix(matcher, host, path):
    try:
        return matcher.match(host, path, "POST", {}).path_prefix
    except RequestError as error:
        return str(error.status)


@then(
    '"{path}" matches the prefix "{prefix}" of the routes "{prefixes}" in each '
    "configuration form"
)
def step_prefix(context, path, prefix, prefixes):
    for matcher in matchers("a.example", prefixes.split()):
        found = matched_prefix(matcher, "a.example", path)
        assert found == prefix, found


@then(
    'host "{host}" matches "{result}" with routes of "{configured}" in each '
    "configuration form"
)
def step_host(context, host, result, configured):
    for matcher in matchers(configured, ["/o/"]):
        found = matched_prefix(matcher, host, "/o/1")
        assert found == result, found


@then('the text "{text}" is refused because of "{problem}"')
def step_text_refused(context, text, problem):
    try:
        parse_text(text.replace("\\n", "\n"))
    except TextError as error:
        assert problem in str(error), error
    else:
        raise AssertionError("the text was accepted")
