"""Steps for the links between two daemons on a simulated reactor."""

import datetime
import ipaddress
import tempfile
from pathlib import Path

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from daemon_group import settings_for
from simulated_network import SimulatedReactor

from banyanshelf_core.messages import ConfigFetch, ConfigText, Hello
from banyanshelf_core.model import Member
from banyanshelf_daemon.cluster import own_member
from banyanshelf_daemon.peer_link import PeerLinks
from banyanshelf_daemon.peer_protocol import MAX_FLUSH_INTERVAL_S


def start_links(context, number, **changes):
    settings = settings_for(number, **changes)
    identity = own_member(settings, context.reactor.seconds())
    links = PeerLinks(context.reactor, settings, identity)
    links.received = []
    links.changes = []
    for message_class in (ConfigFetch, ConfigText):
        links.subscribe(
            message_class,
            lambda sender, message: links.received.append((sender, message)),
        )
    links.on_link_change(lambda peer, is_up: links.changes.append((peer, is_up)))
    links.start()
    context.links[identity.id] = links
    return links


def join_all(context):
    members = {each.identity.id: each.identity for each in context.links.values()}
    for links in context.links.values():
        links.update_members(members, {})


@given("linked daemons {numbers}")
def step_linked(context, numbers):
    context.reactor = SimulatedReactor()
    context.links = {}
    for number in numbers.split(" and "):
        start_links(context, int(number))
    join_all(context)
    context.reactor.run_for(1.0)


def certificate(subject, issuer_name, issuer_key, key, *, is_authority):
    today = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, subject)]))
        .issuer_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, issuer_name)]))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(today)
        .not_valid_after(today + datetime.timedelta(days=36500))
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
    )
    if not is_authority:
        address = x509.IPAddress(ipaddress.ip_address("127.9.0.1"))
        names = x509.SubjectAlternativeName([address])
        builder = builder.add_extension(names, critical=False)
    return builder.sign(issuer_key, hashes.SHA256())


class Authority:
    """Issues certificates into a folder."""

    def __init__(self, folder, name):
        self.folder = Path(folder)
        self.name = name
        self.key = ec.generate_private_key(ec.SECP256R1())
        own = certificate(name, name, self.key, self.key, is_authority=True)
        self.path = self.write(f"{name}.pem", own)

    def write(self, name, content):
        """Write a certificate or key as PEM and return its path."""
        path = self.folder / name
        if hasattr(content, "public_bytes"):
            pem = content.public_bytes(serialization.Encoding.PEM)
        else:
            pem = content.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        path.write_bytes(pem)
        return str(path)

    def issue(self, name, trusted):
        """Return the settings of a daemon with a certificate of this authority."""
        key = ec.generate_private_key(ec.SECP256R1())
        own = certificate(name, self.name, self.key, key, is_authority=False)
        return {
            "tls_certificate": self.write(f"{name}.crt", own),
            "tls_key": self.write(f"{name}.key", key),
            "tls_authority": trusted.path,
        }


@given("two TLS daemons whose certificates are of {kind} authority")
def step_tls(context, kind):
    context.reactor = SimulatedReactor()
    context.links = {}
    with tempfile.TemporaryDirectory() as folder:
        ours = Authority(folder, "ours")
        other = ours if kind == "the same" else Authority(folder, "other")
        start_links(context, 1, **ours.issue("gateway-1", trusted=ours))
        start_links(context, 2, **other.issue("gateway-2", trusted=ours))
    join_all(context)
    context.reactor.run_for(3.0)


@when("a third daemon without TLS dials the first")
def step_plain(context):
    start_links(context, 3)
    join_all(context)
    context.reactor.run_for(3.0)


@when("both daemons dial each other at the same moment")
def step_tie(context):
    context.reactor = SimulatedReactor()
    context.links = {}
    start_links(context, 1)
    start_links(context, 2)
    members = {each.identity.id: each.identity for each in context.links.values()}
    for links in context.links.values():
        links.update_members(members, {})
    context.links["gateway-2"].send("gateway-1", ConfigFetch(0))
    for redial in list(context.links["gateway-2"]._redials.values()):  # noqa: SLF001
        redial.reset(0)
    context.reactor.run_for(1.0)


def pipe(links, peer):
    return links._links[peer].transport  # noqa: SLF001


@when("daemon 1 sends {count:d} messages to daemon 2 in one turn")
def step_burst(context, count):
    links = context.links["gateway-1"]
    transport = pipe(links, "gateway-2")
    before = len(transport.writes)
    for number in range(count):
        assert links.send("gateway-2", ConfigFetch(number))
    context.reactor.run_for(0.01)
    context.new_writes = transport.writes[before:]


@when("daemon 1 has a budget of {budget:d} bytes a second and sends {rate:d} a second")
def step_rate(context, budget, rate):
    links = context.links["gateway-1"]
    links.set_budget(budget)
    transport = pipe(links, "gateway-2")
    before = len(transport.writes)
    context.sent = 0
    for number in range(rate * 5):
        links.send("gateway-2", ConfigFetch(number))
        context.sent += 1
        context.reactor.run_for(1.0 / rate)
    context.new_writes = transport.writes[before:]
    context.reactor.run_for(0.1)


@when("daemon 2 stops reading while daemon 1 sends {megabytes:d} MB")
def step_blocked(context, megabytes):
    links = context.links["gateway-1"]
    links._links["gateway-2"].pauseProducing()  # noqa: SLF001
    text = ConfigText(1, "", "x" * 1_000_000)
    context.accepted = [links.send("gateway-2", text) for _ in range(megabytes)]
    context.reactor.run_for(0.05)


@when("daemon 2 ends and daemon 1 keeps trying for {seconds:d} seconds")
def step_gone(context, seconds):
    context.links.pop("gateway-2").stop()
    attempts = []
    connect = context.reactor.connectTCP

    def counted(*arguments, **keywords):
        attempts.append(context.reactor.seconds())
        return connect(*arguments, **keywords)

    context.reactor.connectTCP = counted
    for _ in range(seconds * 10):
        context.links["gateway-1"].send("gateway-2", ConfigFetch(0))
        context.reactor.run_for(0.1)
    context.attempts = attempts


@when("daemon 1 removes daemon 2 from the members")
def step_removed(context):
    links = context.links["gateway-1"]
    context.hellos = []
    links.subscribe(Hello, lambda sender, hello: context.hellos.append(sender))
    removed = context.links["gateway-2"].identity
    links.update_members({links.identity.id: links.identity}, {removed.id: removed})
    context.reactor.run_for(2.0)


@when("daemon 2 contacts daemon 1 again and sends a message")
def step_contacts(context):
    context.links["gateway-1"].received.clear()
    links = context.links["gateway-2"]
    links.send("gateway-1", ConfigFetch(1))
    context.reactor.run_for(2.0)
    assert links.send("gateway-1", ConfigFetch(1))
    context.reactor.run_for(0.1)


@when("daemon 1 learns of a member at {address}")
def step_learns(context, address):
    links = context.links["gateway-1"]
    context.dialed = []
    context.reactor.connectTCP = lambda host, *_: context.dialed.append(host)
    stray = Member("stray", address, "Huye", 1)
    links.update_members({links.identity.id: links.identity, "stray": stray}, {})
    context.reactor.run_for(1.0)


@then("daemon 1 dials nobody")
def step_no_dial(context):
    assert context.dialed == [], context.dialed


@then("they have one link with each other and messages pass both ways")
def step_one_link(context):
    first, second = context.links["gateway-1"], context.links["gateway-2"]
    assert first.snapshot()["links"] == ["gateway-2"], first.snapshot()
    assert second.snapshot()["links"] == ["gateway-1"]
    assert len(first._connections) == len(second._connections) == 1  # noqa: SLF001
    first.received.clear()
    second.received.clear()
    assert first.send("gateway-2", ConfigFetch(1))
    assert second.send("gateway-1", ConfigFetch(2))
    context.reactor.run_for(0.1)
    assert first.received == [("gateway-2", ConfigFetch(2))]
    assert second.received == [("gateway-1", ConfigFetch(1))]


@then('"{opener}" opened the link')
def step_opener(context, opener):
    for links in context.links.values():
        (link,) = links._links.values()  # noqa: SLF001
        assert link.opened_by == opener, link.opened_by


@then("the daemons have no link")
def step_no_link(context):
    for links in context.links.values():
        assert links.snapshot()["links"] == [], links.snapshot()


@then('"{name}" has no link')
def step_none_has(context, name):
    assert context.links[name].snapshot()["links"] == []


@then("they leave in {count:d} write")
def step_writes(context, count):
    assert len(context.new_writes) == count, context.new_writes


@then("all {count:d} messages arrive in order")
def step_in_order(context, count):
    received = [message for _, message in context.links["gateway-2"].received]
    assert received[-count:] == [ConfigFetch(number) for number in range(count)]


@then("the interval between writes stays at {kind}")
def step_interval(context, kind):
    times = [at for at, _ in context.new_writes]
    # The bucket starts full, so the second half of the time shows the effect.
    times = [at for at in times if at > (times[0] + times[-1]) / 2]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    received = [message for _, message in context.links["gateway-2"].received]
    assert len(received) == context.sent
    if kind == "its longest":
        # A message that waits starts the interval, so one gap of the sender adds.
        assert min(gaps) > 0.8 * MAX_FLUSH_INTERVAL_S, min(gaps)
        assert max(gaps) < 1.3 * MAX_FLUSH_INTERVAL_S, max(gaps)
    else:
        assert max(gaps) < 0.3 * MAX_FLUSH_INTERVAL_S, max(gaps)


@then("some messages are refused and the link is closed")
def step_refused(context):
    assert context.accepted[0]
    assert not context.accepted[-1]
    assert ("gateway-2", False) in context.links["gateway-1"].changes


@then("at most {limit:d} connection attempts were made")
def step_attempts(context, limit):
    assert 2 <= len(context.attempts) <= limit, len(context.attempts)


@then("daemon 1 hears its Hello but not the message")
def step_barred(context):
    assert context.hellos
    assert context.links["gateway-1"].received == []


@then("both daemons count the same bytes for {name}")
def step_counted(context, name):
    sent = context.links["gateway-1"].snapshot()["bytes_out"][name]
    received = context.links["gateway-2"].snapshot()["bytes_in"][name]
    assert sent == received > 0


@then("nothing is scheduled once the links have stopped")
def step_clean(context):
    for links in context.links.values():
        links.stop()
    context.reactor.run_for(0.1)
    pending = context.reactor.getDelayedCalls()
    assert not pending, [str(each) for each in pending]
