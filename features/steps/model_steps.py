"""Steps that check the models in-process."""

from behave import then, when
from model.run import MODELS
from model.verdicts import check

MODEL_BY_NAME = {model.name: model for model in MODELS}


@when('the model "{name}" is checked with the small bound')
def step_check_protocol(context, name):
    model = MODEL_BY_NAME[name]
    protocol = next(each for each in model.variants if not each.flag)
    context.verdicts = [check(model, protocol, small=True)]


@when('the broken variants of the model "{name}" are checked')
def step_check_variants(context, name):
    model = MODEL_BY_NAME[name]
    context.verdicts = [check(model, each) for each in model.variants if each.flag]


@then("every property of the model holds")
def step_holds(context):
    (verdict,) = context.verdicts
    assert all(holds is True for holds in verdict.holds_by_property.values()), verdict


@then("each broken variant is refuted as listed")
def step_refuted(context):
    assert context.verdicts
    for verdict in context.verdicts:
        assert verdict.is_expected, verdict.describe()
