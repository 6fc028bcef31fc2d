"""Limits updated incrementally must equal limits rebuilt from all rules."""

from datetime import timedelta
from random import Random

from chivespan.configuration import Configuration
from chivespan.documents import Rule, Runner, WorkClassRule
from chivespan.messages import GrantRequest, WorkClass
from chivespan.ownerlimits import OwnerLimits
from chivespan.slices import Slice, slices_of

OWNERS = tuple(f"owner-{number}" for number in range(4))
SERVICES = ("lm", "notes")
NOW = timedelta(0)


def change_one_rule(random: Random, rules: dict[str, Rule]) -> None:
    """Add, replace or remove one rule in place, as the configuration fold does."""
    name = f"rule-{random.randrange(8)}"
    if random.random() < 0.25:
        rules.pop(name, None)
        return
    rules[name] = Rule(
        name=name,
        owner=random.choice(OWNERS),
        service=random.choice(SERVICES),
        work_class=random.choice(list(WorkClassRule)),
        max_in_progress=random.randrange(3),
    )


def request(owner: str, work_class: WorkClass) -> GrantRequest:
    return GrantRequest(
        request_id="r",
        slice_id="",
        service=SERVICES[0],
        model="",
        owner=owner,
        work_class=work_class,
        deadline_ms=1000,
        tokens=1,
    )


def effective_limits(limits: OwnerLimits) -> list[tuple[Rule | None, timedelta | None]]:
    """Return rule and delay of every owner and class, with one grant in progress."""
    requests = [request(owner, work) for owner in OWNERS for work in WorkClass]
    rules = [limits.rule(each) for each in requests]
    return [
        (rule, limits.delay(each, 1, NOW) if rule else None)
        for rule, each in zip(rules, requests, strict=True)
    ]


def own_slice(configuration: Configuration) -> Slice:
    slices = slices_of(configuration).values()
    return next(slice_ for slice_ in slices if slice_.service == SERVICES[0])


def test_incremental_rule_changes_equal_a_rebuild() -> None:
    random = Random(5)
    runner = Runner(
        name="a", service=SERVICES[0], address="127.0.0.1:1", data_centre="c", slots=2
    )
    configuration = Configuration(runners={"a": runner})
    slice_ = own_slice(configuration)
    limits = OwnerLimits(slice_, configuration)
    for _ in range(300):
        change_one_rule(random, configuration.rules)
        limits.reconfigure(slice_, configuration)
        assert effective_limits(limits) == effective_limits(
            OwnerLimits(slice_, configuration)
        )
