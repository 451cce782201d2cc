"""Steps that send datagrams of any content to a gateway."""

import math
import random

import msgspec
from behave import then
from hypothesis import given as draw
from hypothesis import settings, strategies
from simulated_gossip import Sink
from twisted.internet.task import Clock

from banyanshelf_core.datagrams import Greeting, LoadUpdate
from banyanshelf_core.errors import CodecError
from banyanshelf_core.model import Member
from banyanshelf_core.replica import ORIGIN
from banyanshelf_daemon.gossip_link import GossipLink
from banyanshelf_daemon.load_sharing import LoadSharing
from banyanshelf_wire.datagram import (
    MAX_DATAGRAM_BYTES,
    decode_datagram,
    encode_datagram,
)

GOOD_ADDRESS = "127.0.0.2:7000"
GOOD_ROW = ("g2", GOOD_ADDRESS, "a", 1, 1.0)
STEP_S = 0.1


class _Transport:
    """Collects the addresses of the datagrams sent."""

    def __init__(self):
        self.addresses = []

    def write(self, content, address):
        assert len(content) <= MAX_DATAGRAM_BYTES
        self.addresses.append(address)


class _Gateway:
    """A gateway whose datagrams go nowhere."""

    def __init__(self):
        self.clock = Clock()
        identity = Member("g1", "127.0.0.1:7000", "a", 1)
        self.link = GossipLink(
            self.clock, identity, [], random.Random(1), lambda *state: None
        )
        self.link.transport = self.transport = _Transport()
        self.sink = Sink()
        self.sharing = LoadSharing(
            self.clock, self.link, self.sink, self.sink, lambda: (ORIGIN, 1.0)
        )
        self.sharing.start()

    def receive(self, content):
        self.link.datagramReceived(content, ("127.0.0.9", 7000))

    def check_works(self):
        """Learn a member, count its calls and greet without an error."""
        self.receive(encode_datagram(Greeting(GOOD_ROW, [], True, 1)))
        assert ("127.0.0.2", 7000) in self.transport.addresses
        assert "g2" in self.link.members.zone_members_by_id()
        update = LoadUpdate("g2", {"u1": 2}, [], {}, 1, True)
        self.receive(encode_datagram(update))
        assert self.sink.others() == {"u1": 2}, self.sink.others()
        for _ in range(10):
            self.clock.advance(STEP_S)
            self.link._tick()
        for count in self.sink.counts_by_source.values():
            assert all(each >= 0 for each in count.values()), count


_TEXT = strategies.sampled_from(
    ["", "g1", "g3", "u1", "a", "b", GOOD_ADDRESS, "nowhere", "host.example:1", "\0"]
) | strategies.text(max_size=5)
_INT = strategies.sampled_from([-1, 0, 1, 3, 2**63 - 1, -(2**63)])
_FLOAT = strategies.sampled_from([math.nan, math.inf, -math.inf, -1.0, 0.0, 0.5])
_BOOL = strategies.booleans()
_ROW = strategies.tuples(_TEXT, _TEXT, _TEXT, _INT, _FLOAT)
_ROWS = strategies.lists(_ROW, max_size=4)
_COUNTS = strategies.dictionaries(_TEXT, _INT, max_size=3)
_RESULTS = strategies.lists(strategies.tuples(_TEXT, _TEXT), max_size=3)
_REPORTS = strategies.dictionaries(
    _TEXT, strategies.tuples(_INT, _INT, _INT, _INT), max_size=2
)
_ENDED = strategies.lists(strategies.tuples(_INT, _TEXT, _INT), max_size=2)
_NUMBERS = strategies.lists(_INT, max_size=3)
_NAMES = strategies.lists(_TEXT, max_size=3)
_FIELDS_BY_TAG = {
    1: (_TEXT, _COUNTS, _RESULTS, _REPORTS, _INT, _BOOL, _FLOAT, _ENDED, _NUMBERS),
    2: (_ROW, _ROWS, _BOOL, _INT, _BOOL),
    3: (_TEXT, _TEXT, _TEXT, _BOOL),
    4: (_TEXT, _COUNTS, _RESULTS, _ROWS, _INT, _FLOAT),
    8: (_TEXT, _NAMES),
    14: (_TEXT, _TEXT, _INT, _COUNTS, _COUNTS, _BOOL),
    15: (_INT, _TEXT, _COUNTS),
}
_DATAGRAMS = strategies.one_of(
    [
        strategies.tuples(strategies.just(tag), *fields).map(msgspec.msgpack.encode)
        for tag, fields in _FIELDS_BY_TAG.items()
    ]
) | strategies.binary(max_size=64)


@then("after each of {count:d} datagrams of any content a gateway still works")
def step_any_datagram(context, count):
    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @draw(strategies.lists(_DATAGRAMS, min_size=1, max_size=3))
    def check(contents):
        gateway = _Gateway()
        for content in contents:
            gateway.receive(content)
        gateway.check_works()

    check()


def _damaged(damage):
    update = [1, "g3", {}, [], {}, 1, True, 0.0, [], []]
    greeting = [2, ["g3", "127.0.0.3:7000", "a", 1, 1.0], [], False, 1, False]
    match damage:
        case "a member without a port":
            greeting[1][1] = "127.0.0.3"
        case "a member at a host name":
            greeting[2] = [["g4", "host.example:7000", "a", 1, 1.0]]
        case "a negative count":
            update[2] = {"u1": -3}
        case "a negative number of seconds":
            update[7] = -1.0
        case "a time that is no number":
            update[7] = math.nan
        case "an unknown kind of ended call":
            update[8] = [[1, "odd", 5]]
        case "a further field nested too deeply":
            # Lists of one element, within the greatest size of a datagram
            nested = b"\x91" * 60_000 + b"\x01"
            return b"\x97" + msgspec.msgpack.encode(greeting)[1:] + nested
    is_update = damage.endswith(("count", "seconds", "number", "call"))
    return msgspec.msgpack.encode(update if is_update else greeting)


@then("a datagram with {damage} is ignored and the gateway still works")
def step_damaged(context, damage):
    content = _damaged(damage)
    try:
        decode_datagram(content)
    except CodecError:
        gateway = _Gateway()
        gateway.receive(content)
        assert set(gateway.link.members_by_id()) == {"g1"}
        gateway.check_works()
        return
    raise AssertionError("the datagram was decoded")
