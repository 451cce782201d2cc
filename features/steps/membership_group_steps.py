"""Steps for the membership protocol: core code on a simulated clock."""

from behave import given, then, when
from simulated_group import SimulatedGroup

from banyanshelf_core.membership import MembershipProtocol
from banyanshelf_core.membership_view import MAX_UPDATES_PER_MESSAGE
from banyanshelf_core.messages import MemberUpdate, Ping, PingRequest

# A member's turn in every shuffled round, suspicion and spreading of the news.
SETTLE_S = 60.0


@given("a membership group of {size:d} members with seed {seed:d}")
def step_group(context, size, seed):
    context.group = SimulatedGroup(size, seed)


@given("messages of the group are lost at {percent:d} percent and reordered")
def step_lossy(context, percent):
    context.group.loss = percent / 100
    context.group.latency = (0.001, 0.15)


@when("messages of the group arrive again")
def step_no_loss(context):
    context.group.loss = 0.0


@given("the store of the group is down")
@when("the store of the group goes down")
def step_store_down(context):
    context.group.store_up = False


@when("the store of the group comes back")
def step_store_up(context):
    context.group.store_up = True


@given("the group has run for {seconds:g} seconds")
@when("the group runs for {seconds:g} seconds")
def step_run(context, seconds):
    context.group.run_for(seconds)


@when('group member "{member_id}" is killed')
def step_kill(context, member_id):
    context.group.kill(member_id)


@when('group member "{member_id}" starts again')
def step_start(context, member_id):
    context.group.start(member_id)


@when('group member "{member_id}" is paused for {seconds:g} seconds')
def step_pause(context, member_id, seconds):
    context.paused = context.group.processes[member_id]
    context.paused_incarnation = context.paused.protocol.identity.incarnation
    context.group.pause(member_id, seconds)


@when('group member "{member_id}" is cut off for {seconds:g} seconds')
def step_cut(context, member_id, seconds):
    group = context.group
    context.paused = group.processes[member_id]
    context.paused_incarnation = context.paused.protocol.identity.incarnation
    group.blocked = lambda sender, to: member_id in (sender, to)
    group.run_for(seconds)
    group.blocked = lambda sender, to: False


@when('group member "{member_id}" cannot hear "{other}" directly')
def step_one_way(context, member_id, other):
    pairs = {(member_id, other), (other, member_id)}
    context.group.blocked = lambda sender, to: (sender, to) in pairs


@when('group member "{member_id}" leaves on purpose')
def step_leave(context, member_id):
    process = context.group.processes[member_id]
    context.left = process.protocol.identity
    context.group.run(process, process.protocol.leave([]))


@when('a store record of "{member_id}" from before its removal is read late')
def step_late_record(context, member_id):
    for process in context.group.processes.values():
        old = process.protocol.removed_by_id[member_id]
        effects = process.protocol.observe([old], context.group.now)
        context.group.run(process, effects)


@when("random faults happen for {seconds:d} seconds")
def step_faults(context, seconds):
    group = context.group
    end = group.now + seconds
    while group.now < end:
        member_id = group.rng.choice(group.ids)
        fault = group.rng.choice(["kill", "pause", "split", "start", "start"])
        process = group.processes.get(member_id)
        if fault == "kill" and len(group.processes) > len(group.ids) // 2:
            group.kill(member_id)
        elif fault == "pause" and process is not None:
            group.pause(member_id, group.rng.uniform(0.2, 8.0))
        elif fault == "start" and process is None:
            group.start(member_id)
        elif fault == "split":
            side = set(group.rng.sample(group.ids, len(group.ids) // 3))
            group.blocked = lambda a, b, side=side: (a in side) != (b in side)
        group.run_for(group.rng.uniform(0.2, 3.0))
        if fault == "split":
            group.run_for(group.rng.uniform(0.0, 8.0))
            group.blocked = lambda a, b: False
    group.loss = 0.0


@then("every running member sees exactly the running members")
def step_agree(context):
    assert not context.group.disagreeing(), context.group.disagreeing()


@then("after settling every running member sees exactly the running members")
def step_settled(context):
    context.group.run_for(SETTLE_S)
    step_agree(context)


@then("nobody was ever removed from the group")
def step_nobody_removed(context):
    removed = [
        (process.member_id, change)
        for process in context.group.processes.values()
        for change in process.changes
        if change.removed
    ]
    assert not removed, removed


@then('"{member_id}" is no member for the others')
def step_gone(context, member_id):
    views = context.group.views()
    holding = [key for key, view in views.items() if key != member_id]
    holding = [key for key in holding if member_id in views[key]]
    assert not holding, holding


@then("the returned member was told and took a higher incarnation")
def step_told(context):
    assert context.paused.self_removed >= 1
    incarnation = context.paused.protocol.identity.incarnation
    assert incarnation > context.paused_incarnation


@then("the paused member kept its roles")
def step_not_told(context):
    # It may have refuted a suspicion, which raises its incarnation only.
    assert context.paused.self_removed == 0


@then("no message carried more updates than allowed and the news ran dry")
def step_bounded(context):
    group = context.group
    carried = [
        (at, len(message.updates))
        for at, _, _, message in group.sent
        if isinstance(message, Ping | PingRequest)
    ]
    assert max(count for _, count in carried) <= MAX_UPDATES_PER_MESSAGE
    latest = [count for at, count in carried if at > group.now - 5.0]
    assert latest
    assert sum(latest) == 0, sum(latest)


@when("the same updates reach two members in different orders")
def step_orders(context):
    group = context.group
    updates = [
        MemberUpdate("visitor", "visitor:1", "Huye", incarnation, status)
        for incarnation in (1, 2, 3)
        for status in ("alive", "suspect", "removed", "left")
    ]
    context.outcomes = set()
    for _ in range(50):
        group.rng.shuffle(updates)
        protocol = MembershipProtocol(group.member("reader"), group.rng, 0.0)
        for update in updates * 2:
            protocol.receive("peer", Ping(1, [update], 0, "", 1), 0.0)
        context.outcomes.add(
            (tuple(protocol.members_by_id), tuple(protocol.removed_by_id))
        )


@then("both end with the same members")
def step_same(context):
    assert len(context.outcomes) == 1, context.outcomes
