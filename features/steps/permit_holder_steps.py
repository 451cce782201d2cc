"""Steps for the permit holder of a gateway, driven without a network."""

import random
from collections import Counter

from behave import given, then, when
from permit_coordinator_steps import upstreams_of

from banyanshelf_core.admission import WaitingCall
from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.messages import (
    CoordinatorAnnounce,
    Grant,
    Holdings,
    Recall,
    SlotCount,
)
from banyanshelf_core.model import Send, UpstreamState
from banyanshelf_core.permits.effects import Assign, Refuse
from banyanshelf_core.permits.holder import PermitHolder
from banyanshelf_core.permits.settings import HolderSettings

EPOCH = (5, "g9")
TICK_S = 0.025


class HolderDriver:
    """A holder at gateway g1 on a simulated clock, and the outcome of its calls."""

    def __init__(self, upstreams, settings):
        self.now = 100.0
        self.upstreams = upstreams_of(upstreams)
        self.holder = PermitHolder(
            random.Random(3), "desk", ("g1", "huye"), HolderSettings(**settings)
        )
        self.assigned = {}
        self.refused = {}
        self.sent = []
        self.callers = {}
        self.names = []
        self.holder.local.set_members(["g1"])
        self.record_effects(self.holder.set_upstreams(self.now, self.upstreams))
        self.record_effects(self.holder.tick(self.now))
        announce = CoordinatorAnnounce("desk", *EPOCH)
        self.record_effects(self.holder.on_message(self.now, announce))

    def record_effects(self, effects):
        """Record effects and the messages that are due in this turn."""
        for effect in effects:
            match effect:
                case Assign():
                    self.assigned[self.names[effect.call_id]] = effect
                case Refuse():
                    self.refused[self.names[effect.call_id]] = effect.reason
                case Send():
                    self.sent.append(effect.message)
        if self.holder.wants_flush:
            self.sent += [each.message for each in self.holder.flush(self.now)]

    def call(self, name, depth=0, caller="", limit_s=2.0, only_idle=False, **fields):
        """Start a call."""
        self.callers[name] = caller
        self.names.append(name)
        call = WaitingCall(
            len(self.names) - 1, caller, depth, self.now, self.now + limit_s, **fields
        )
        self.record_effects(self.holder.acquire(self.now, call, only_idle=only_idle))

    def end(self, name, ms=20):
        """End a call that has a permit."""
        effect = self.assigned.pop(name)
        sample = AnswerSample(effect.upstream, ms * 1000, "answered")
        self.record_effects(
            self.holder.release(
                self.now,
                effect.upstream,
                self.callers[name],
                sample,
                is_local=effect.epoch_number == 0,
            )
        )

    def grant(self, permits, terms="reusable", reuse_ms=0, epoch=EPOCH):
        """Deliver a grant; a nonzero age for reuse means contention."""
        counts = [SlotCount(*each) for each in Counter(permits.split()).items()]
        contended = reuse_ms > 0
        message = Grant("desk", *epoch, counts, reuse_ms * 1000, contended, terms)
        self.record_effects(self.holder.on_message(self.now, message))

    def advance(self, seconds):
        """Advance the clock and call the holder's ticks."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.record_effects(self.holder.tick(self.now))

    def returned(self):
        """Return the permits returned since the last call of this method."""
        counts = Counter()
        for message in self.sent:
            for each in getattr(message, "permits", []):
                counts[each.upstream] += each.count
        self.sent = []
        return counts


@given('a holder of gateway g1 for upstreams "{upstreams}"')
def step_holder(context, upstreams):
    context.held = HolderDriver(upstreams, {})


@given('a holder of gateway g1 for upstreams "{upstreams}" with {limit:d} queue places')
def step_small_holder(context, upstreams, limit):
    context.held = HolderDriver(upstreams, {"queue_limit": limit})


@given('a holder of gateway g1 for "{upstreams}" where {caller} weighs {weight:d}')
def step_weighted_holder(context, upstreams, caller, weight):
    settings = {"caller_weights": {caller: weight}}
    context.held = HolderDriver(upstreams, settings)


@when('the g1 holder gets calls "{names}"')
def step_calls(context, names):
    for name in names.split():
        context.held.call(name)


@when('the g1 holder gets calls "{names}" of {caller} with depth {depth:d}')
def step_deep_calls(context, names, caller, depth):
    for name in names.split():
        context.held.call(name, depth, "" if caller == "clients" else caller)


@when('the g1 holder gets call "{name}" with {ms:d} ms left')
def step_short_call(context, name, ms):
    context.held.call(name, limit_s=ms / 1e3)


@when('the g1 holder gets call "{name}" that excludes "{upstreams}"')
def step_excluding_call(context, name, upstreams):
    context.held.call(name, excluded=frozenset(upstreams.split()))


@when('the g1 holder gets call "{name}" that is not idempotent')
def step_unsafe_call(context, name):
    context.held.call(name, idempotent=False)


@when('the g1 holder gets call "{name}" that takes only idle permits')
def step_only_idle(context, name):
    context.held.call(name, only_idle=True)


@when('the g1 holder is granted "{permits}"')
def step_grant(context, permits):
    context.held.grant(permits)


@when('the g1 holder is granted "{permits}" for {terms}')
def step_grant_terms(context, permits, terms):
    context.held.grant(permits, terms=terms)


@when('the g1 holder is granted "{permits}" under contention with age {ms:d} ms')
def step_grant_contended(context, permits, ms):
    context.held.grant(permits, reuse_ms=ms)


@when('the g1 holder is granted "{permits}" in an older epoch')
def step_grant_old(context, permits):
    context.held.grant(permits, epoch=(4, "g9"))


@when('the g1 holder ends call "{name}"')
def step_end(context, name):
    context.held.end(name)


@when('the g1 holder ends call "{name}" after {ms:d} ms')
def step_end_after(context, name, ms):
    context.held.end(name, ms)


@when("the g1 holder's clock advances {seconds:f} s")
def step_advance(context, seconds):
    context.held.advance(seconds)


@when("the g1 holder is paused for {seconds:f} s")
def step_pause(context, seconds):
    context.held.now += seconds


@when('the g1 holder gets a recall of {count:d} permits of "{name}"')
def step_recall(context, count, name):
    held = context.held
    message = Recall("desk", *EPOCH, count, "" if name == "any" else name)
    held.record_effects(held.holder.on_message(held.now, message))


@when('the g1 holder is told that "{name}" is leaving')
def step_leaving(context, name):
    held = context.held
    held.upstreams[name] = held.upstreams[name]._replace(state=UpstreamState.LEAVING)
    held.record_effects(held.holder.set_upstreams(held.now, held.upstreams))


@when("the g1 holder's coordinator link goes {direction}")
def step_link(context, direction):
    held = context.held
    held.record_effects(held.holder.on_link(held.now, is_up=direction == "up"))


@then('the g1 holder has assigned "{pairs}"')
def step_assigned(context, pairs):
    expected = dict(each.split(":") for each in pairs.split() if each != "nothing")
    found = {name: each.upstream for name, each in context.held.assigned.items()}
    assert found == expected, found


@then('the g1 holder has refused "{name}" because of "{reason}"')
def step_refused(context, name, reason):
    assert context.held.refused.get(name) == reason, context.held.refused


@then('the g1 holder has refused only "{name}", because of "{reason}"')
def step_refused_only(context, name, reason):
    assert context.held.refused == {name: reason}, context.held.refused


@then('the g1 holder has returned "{permits}"')
def step_returned(context, permits):
    expected = Counter([] if permits == "nothing" else permits.split())
    found = context.held.returned()
    assert found == expected, found


@then('the g1 holder keeps "{permits}" idle')
def step_idle(context, permits):
    expected = Counter([] if permits == "nothing" else permits.split())
    assert context.held.holder.counts.idle == expected, context.held.holder.counts.idle


@then('the g1 holder reports "{permits}" in use and "{idle}" idle')
def step_reported(context, permits, idle):
    report = [each for each in context.held.sent if isinstance(each, Holdings)][-1]
    for found, expected in ((report.in_use, permits), (report.idle, idle)):
        names = Counter({each.upstream: each.count for each in found})
        wanted = Counter([] if expected == "nothing" else expected.split())
        assert names == wanted, report


@then("the g1 holder has requested {count:d} spare permits")
def step_spare(context, count):
    asked = sum(getattr(each, "spare", 0) for each in context.held.sent)
    assert asked == count, context.held.sent
