"""Byte-level fuzzing of the data path, compared with a strict parser of HTTP."""

import random
import re
from hashlib import sha256
from unittest.mock import patch

from behave import then, when
from datapath_support import DataPath

from banyanshelf_daemon import attempt

FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
# RFC 9112, section 3, allows a parser to accept several spaces as one.
REQUEST_LINE = re.compile(rb"([A-Z-]+) +([\x21-\x7e]+) +HTTP/1\.[01]")
# The reason phrase is never forwarded, so it may hold any bytes.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
TOKENS = (
    b"\r\n|\n|\r|\x00| |\t|\xff|;|:|9|0\r\n\r\n|\r\n\r\n|Content-Length: 5\r\n|"
    b"Content-Length: 0\r\n|Transfer-Encoding: chunked\r\n|Connection: close\r\n|"
    b"Transfer-Encoding: identity\r\n|Expect: 100-continue\r\n|X: a\r\n b\r\n|"
    b"Host: other.example\r\n|GET /smuggled HTTP/1.1\r\nHost: desk.example\r\n\r\n|"
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
).split(b"|")
MAX_STREAM_BYTES = 64


class IncompleteMessageError(Exception):
    """The bytes are not a complete message to a strict parser."""


def read_message(data, first_line, needs_length):
    """Return (match of the first line, body, rest); raises IncompleteMessageError."""
    head, separator, rest = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    line, *fields = head.split(b"\r\n")
    start = first_line.fullmatch(line)
    if not separator or start is None:
        raise IncompleteMessageError(line)
    lengths, codings = [], []
    for field in fields:
        if FIELD.fullmatch(field) is None:
            raise IncompleteMessageError(field)
        name, _, value = field.partition(b":")
        if name.lower() == b"content-length":
            lengths.append(value.strip(b" \t"))
        elif name.lower() == b"transfer-encoding":
            codings.append(value.strip(b" \t").lower())
    if len(lengths) + len(codings) > 1 or codings not in ([], [b"chunked"]):
        raise IncompleteMessageError("framing")
    if codings:
        return start, *read_chunks(rest)
    if not lengths:
        if needs_length and start.group(1) not in (b"204", b"304"):
            raise IncompleteMessageError("no length")
        return start, b"", rest
    if not lengths[0].isdigit() or len(rest) < int(lengths[0]):
        raise IncompleteMessageError("length")
    if start.group(1) in (b"204", b"304"):
        return start, b"", rest
    return start, rest[: int(lengths[0])], rest[int(lengths[0]) :]


def read_chunks(data):
    body = b""
    while True:
        line = CHUNK_LINE.match(data)
        if line is None:
            raise IncompleteMessageError("chunk line")
        size = int(line.group(1), 16)
        data = data[line.end() :]
        if size == 0:
            while not data.startswith(b"\r\n"):
                trailer, separator, data = data.partition(b"\r\n")
                if not separator or FIELD.fullmatch(trailer) is None:
                    raise IncompleteMessageError("trailer")
            return body, data[2:]
        if data[size : size + 2] != b"\r\n":
            raise IncompleteMessageError("chunk")
        body, data = body + data[:size], data[size + 2 :]


def read_messages(data, first_line):
    """Return all complete messages at the start of the data."""
    found = []
    try:
        while data:
            start, body, data = read_message(data, first_line, False)
            found.append((start, body))
    except IncompleteMessageError:
        pass
    return found


def mutate(rng, data):
    data = bytearray(data)
    for _ in range(rng.choice((0, 1, 1, 1, 2, 4))):
        ends = [found.end() for found in re.finditer(b"\r\n", data)] or [0]
        place = rng.choice((rng.randrange(len(data) + 1), rng.choice(ends)))
        change = rng.choice(TOKENS)
        match rng.randrange(4):
            case 0:
                data[place : place + 1] = rng.randbytes(1)
            case 1:
                del data[place : place + rng.randrange(1, 12)]
            case 2:
                data[place:place] = data[place : place + rng.randrange(1, 40)]
            case _:
                data[place:place] = change
    return bytes(data)


def split(rng, data):
    while data:
        size = rng.choice((1, 2, 7, 30, 200, len(data)))
        yield data[:size]
        data = data[size:]


def sample_request(rng, number):
    body = b"body-%d" % number * rng.randrange(4)
    head = b"POST /a%d HTTP/1.1\r\nHost: desk.example\r\n" % number
    if rng.random() < 0.3:
        return head.replace(b"POST", b"GET") + b"X-A: 1\r\n\r\n"
    return head + rng.choice((with_length, with_chunks))(rng, body)


def with_length(_rng, body):
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def with_chunks(rng, body):
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in split(rng, body))
    return b"Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n" % chunks


class RequestFuzz:
    """A caller that sends fuzzed streams and one that makes calls on one data path."""

    def __init__(self, seed, is_random):
        self.rng, self.is_random = random.Random(seed), is_random
        self.path = DataPath(upstream_count=3)
        self.other = self.path.connect_caller()
        self.other_digests, self.streams, self.forwarded_by_round = [], [], []

    def run_round(self, stream):
        """Send a stream in parts while the other caller makes a call."""
        self.streams.append(stream)
        self.forwarded_by_round.append([])
        caller = self.path.connect_caller()
        other_request = b"GET /other-%d HTTP/1.1\r\nHost: desk.example\r\n\r\n"
        pieces = list(split(self.rng, stream))
        at = self.rng.randrange(len(pieces) + 1)
        for index, piece in enumerate([*pieces, b""]):
            if index == at:
                self.path.send(self.other, other_request % len(self.streams))
            self.path.send(caller, piece) if piece else None
            if self.rng.random() < 0.5:
                self.answer_one()
        while self.answer_one():
            pass
        for _, body in read_messages(caller.value(), STATUS_LINE):
            assert body not in self.other_digests, "another caller's answer"
        caller.cut()
        self.path.settle()
        self.path.upstream_transports = [
            each for each in self.path.upstream_transports if not each.is_closed
        ]

    def answer_one(self):
        """Answer one waiting request with its digest; return False if there is none."""
        waiting = self.path.waiting()
        if not waiting:
            return False
        transport = self.rng.choice(waiting)
        request = transport.value()
        start, body, rest = read_message(request, REQUEST_LINE, False)
        assert not rest, request
        answer = sha256(request).hexdigest().encode()
        if start.group(2).startswith(b"/other-"):
            self.other_digests.append(answer)
        else:
            self.forwarded_by_round[-1].append((start.group(1), start.group(2), body))
        body = b"" if start.group(1) == b"HEAD" else answer
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.path.answer(transport, head + body)
        return True


@when(
    "a caller sends {rounds:d} {kind} streams with seed {seed:d} "
    "while another makes calls"
)
def step_streams(context, rounds, kind, seed):
    context.fuzz = fuzz = RequestFuzz(seed, kind == "random")
    for number in range(0, 10 * rounds, 10):
        count = fuzz.rng.randrange(1, 4)
        requests = [sample_request(fuzz.rng, number + each) for each in range(count)]
        stream = mutate(fuzz.rng, b"".join(requests))
        fuzz.run_round(fuzz.rng.randbytes(200) if fuzz.is_random else stream)


@then("each forwarded request is one that a strict parser finds in the bytes sent")
def step_forwarded(context):
    fuzz = context.fuzz
    for stream, forwarded in zip(fuzz.streams, fuzz.forwarded_by_round, strict=True):
        expected = iter(
            (start.group(1), start.group(2), body)
            for start, body in read_messages(stream, REQUEST_LINE)
        )
        for found in forwarded:
            assert found in expected, (stream, forwarded)
    forwarded_count = sum(map(len, fuzz.forwarded_by_round))
    # With fewer forwarded requests, the mutations would test too little.
    assert fuzz.is_random or 2 * forwarded_count > len(fuzz.streams)


@then("the other caller has received all its answers")
def step_other_answers(context):
    answers = read_messages(context.fuzz.other.value(), STATUS_LINE)
    bodies = [body for _, body in answers]
    assert bodies == context.fuzz.other_digests
    assert len(bodies) == len(context.fuzz.streams)


def sample_answer(rng):
    body = rng.randbytes(rng.choice((0, 5, 40, 300)))
    return b"HTTP/1.1 200 OK\r\n" + rng.choice((with_length, with_chunks))(rng, body)


@when("an upstream sends {rounds:d} mutated answers with seed {seed:d} that are {kind}")
def step_mutated_answers(context, rounds, seed, kind):
    rng, context.exchanges = random.Random(seed), []
    limit = MAX_STREAM_BYTES if kind == "streamed" else attempt.MAX_COLLECTED_BYTES
    for _ in range(rounds):
        path = DataPath(upstream_count=1)
        caller = path.connect_caller()
        path.send(caller, b"POST /a HTTP/1.1\r\nHost: desk.example\r\n\r\n")
        [transport] = path.waiting()
        answer = mutate(rng, sample_answer(rng))
        if rng.random() < 0.4:
            answer = answer[: rng.randrange(len(answer) + 1)]
        transport.clear()
        with patch.object(attempt, "MAX_COLLECTED_BYTES", limit):
            for piece in split(rng, answer):
                path.answer(transport, piece)
        transport.cut()
        path.settle()
        context.exchanges.append((answer, caller.value(), caller.was_aborted))


@then("each answer delivered as complete is complete to a strict parser")
def step_complete(context):
    complete_count = 0
    for answer, received, was_aborted in context.exchanges:
        found = read_messages(received, STATUS_LINE)
        if was_aborted:
            assert not found, (answer, received)
            continue
        [(start, body)] = found
        if start.group(1) == b"502":
            continue
        rest, status = answer, b"1"
        while status.startswith(b"1"):
            sent, sent_body, rest = read_message(rest, STATUS_LINE, True)
            status = sent.group(1)
        assert (start.group(1), body) == (status, sent_body), (answer, received)
        complete_count += 1
    assert complete_count > len(context.exchanges) // 8, complete_count
