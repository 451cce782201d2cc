"""Steps for the codec of peer messages."""

import random
from dataclasses import replace

from behave import given, then, when

from banyanshelf_core import messages
from banyanshelf_core.errors import CodecError
from banyanshelf_wire.codec import decode, encode

SAMPLE_BY_NAME = {
    "Ping": messages.Ping(
        sequence=7,
        updates=[messages.MemberUpdate("gateway-1", "127.0.0.1:9", "Huye", 3, "alive")],
        config_version=12,
        config_digest="ab",
        needs_members=True,
    ),
    "ConfigText": messages.ConfigText(version=2, digest="cd", text="Mahébourg"),
    "Release": messages.Release(
        service_name="desk",
        epoch_number=4,
        epoch_member="gateway-2",
        permits=[messages.SlotCount("desk-1", 2)],
        waiting=1,
        oldest_wait_us=900,
        samples=[messages.AnswerSample("desk-1", 20_000, "answered")],
        permits_received=5,
        spare=1,
        excluded=["desk-3"],
    ),
    "ClaimReply": messages.ClaimReply(
        attempt_id="a1",
        status="completed",
        answer=messages.StoredAnswer(
            201, ["Content-Type: text/plain"], b"\xff\x00", True
        ),
    ),
    "ClaimRequest": messages.ClaimRequest(3, "desk", "key", "body", "a1", 2000),
}


@given('a peer message "{name}" with sample content')
def step_message(context, name):
    context.message = SAMPLE_BY_NAME[name]


@when("it is encoded and decoded")
def step_round_trip(context):
    context.result = decode(encode(context.message))


@then("the result equals the original")
def step_equal(context):
    assert context.result == context.message, context.result


def decoded_or_error(content):
    try:
        return decode(content)
    except CodecError as error:
        return error


@when("{count:d} random byte strings with seed {seed:d} are decoded")
def step_random_bytes(context, count, seed):
    source = random.Random(seed)
    context.results = [
        decoded_or_error(source.randbytes(source.randrange(64))) for _ in range(count)
    ]


@when("every proper prefix of its encoding is decoded")
def step_prefixes(context):
    content = encode(context.message)
    context.results = [decoded_or_error(content[:size]) for size in range(len(content))]


@then("each gives either a message or a codec error")
def step_typed(context):
    allowed = (*messages.PeerMessage.__args__, CodecError)
    assert all(isinstance(result, allowed) for result in context.results)
    assert any(isinstance(result, CodecError) for result in context.results)


@when("its text bytes are replaced by bytes that are not UTF-8")
def step_not_utf8(context):
    content = encode(context.message)
    assert content.count(b"gateway-1") == 1
    context.results = [decoded_or_error(content.replace(b"gateway-1", b"\xff" * 9))]


@then("the codec rejects it")
def step_refused(context):
    assert isinstance(context.results[0], CodecError), context.results


@when("a release without its last field is decoded")
def step_older_release(context):
    # Thrift omits a field without a value, as a daemon that lacks the field does.
    release = replace(SAMPLE_BY_NAME["Release"], urgent=None)
    context.release = decode(encode(release))


@then("the release has no urgent calls")
def step_no_urgent(context):
    assert context.release.urgent == 0, context.release
