"""Limits that follow each change of the rules are those made anew from all rules."""

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


def changed(random: Random, rules: dict[str, Rule]) -> None:
    """Put, replace or remove one rule in place, as a fold does."""
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


def seen(limits: OwnerLimits) -> list[tuple[Rule | None, timedelta | None]]:
    """Return what the limits say of every owner and class with one grant out."""
    asked = [request(owner, work) for owner in OWNERS for work in WorkClass]
    rules = [limits.rule(each) for each in asked]
    return [
        (rule, limits.delay(each, 1, NOW) if rule else None)
        for rule, each in zip(rules, asked, strict=True)
    ]


def own_slice(configuration: Configuration) -> Slice:
    parts = slices_of(configuration).values()
    return next(part for part in parts if part.service == SERVICES[0])


def test_changes_of_rules_one_by_one_give_what_all_rules_give() -> None:
    random = Random(5)
    runner = Runner(
        name="a", service=SERVICES[0], address="127.0.0.1:1", data_centre="c", slots=2
    )
    configuration = Configuration(runners={"a": runner})
    part = own_slice(configuration)
    limits = OwnerLimits(part, configuration)
    for _ in range(300):
        changed(random, configuration.rules)
        limits.reconfigure(part, configuration)
        assert seen(limits) == seen(OwnerLimits(part, configuration))
