"""What the rules let each owner take of one slice."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from math import ceil
from typing import NamedTuple

from chivespan.configuration import Configuration
from chivespan.documents import Rule
from chivespan.messages import GrantRequest, WorkClass
from chivespan.slices import Slice

SECOND = timedelta(seconds=1)
TOKEN_STORE = timedelta(seconds=2)


class OwnerClass(NamedTuple):
    """One owner's work of one class."""

    owner: str
    work_class: WorkClass


@dataclass(slots=True)
class _TokenStore:
    """Tokens that an owner may still generate; below zero after a large request."""

    rate: float
    tokens: float
    filled_at: timedelta

    def fill(self, now: timedelta) -> None:
        earned = self.rate * ((now - self.filled_at) / SECOND)
        most = self.rate * (TOKEN_STORE / SECOND)
        self.tokens = min(most, self.tokens + earned)
        self.filled_at = now


class _KeyedRule(NamedTuple):
    """A rule, and what it is looked up by."""

    rule: Rule
    key: OwnerClass


class OwnerLimits:
    """The rules of one service, cut down to a slice's part of the service's slots.

    Each slice keeps its own part without asking the others; rounding up lets a service
    of n slices exceed a limit by less than n.
    """

    def __init__(self, part: Slice, configuration: Configuration) -> None:
        self._keyed: dict[str, _KeyedRule] = {}
        self._rules: dict[OwnerClass, Rule] = {}
        self._stores: dict[OwnerClass, _TokenStore] = {}
        self._part = 1.0
        self.reconfigure(part, configuration)

    def reconfigure(self, part: Slice, configuration: Configuration) -> None:
        """Take over changed rules or targets."""
        runners = configuration.runners.values()
        all_slots = sum(each.slots for each in runners if each.service == part.service)
        own_slots = sum(runner.slots for runner in part.runners)
        self._part = own_slots / max(1, own_slots, all_slots)
        self._take_rules(part.service, configuration.rules)
        self._stores = {
            key: store
            for key, store in self._stores.items()
            if key in self._rules and self._rules[key].max_tokens_per_s
        }

    def rule(self, request: GrantRequest) -> Rule | None:
        """Return the rule that lets a request run."""
        return self._rules.get(_key(request))

    def delay(
        self, request: GrantRequest, in_progress: int, now: timedelta
    ) -> timedelta | None:
        """Return how long an owner must wait for its own limits; None if it needn't.

        :param in_progress: grants of the owner's class in this slice.
        """
        rule = self._rules[_key(request)]
        most = ceil(rule.max_in_progress * self._part)
        if rule.max_in_progress and in_progress >= most:
            return SECOND
        if rule.max_tokens_per_s == 0:
            return None
        store = self._store(_key(request), rule, now)
        if store.tokens > 0:
            return None
        return SECOND * (1 - store.tokens) / store.rate

    def charge(self, request: GrantRequest, now: timedelta) -> None:
        """Take the most tokens that a granted request may generate."""
        rule = self._rules.get(_key(request))
        if rule is not None and rule.max_tokens_per_s:
            self._store(_key(request), rule, now).tokens -= request.tokens

    def refund(self, key: OwnerClass, tokens: int) -> None:
        """Give back what a request was charged and didn't generate."""
        if key in self._stores:
            self._stores[key].tokens += tokens

    def _take_rules(self, service: str, rules: Mapping[str, Rule]) -> None:
        """Take over the rules of a service; only of changed ones are keys made."""
        known = self._keyed
        self._keyed = {
            name: known[name]
            if name in known and known[name].rule is rule
            else _KeyedRule(rule, _key_of(rule))
            for name, rule in rules.items()
            if rule.service == service
        }
        self._rules = {key: rule for rule, key in self._keyed.values()}

    def _store(self, key: OwnerClass, rule: Rule, now: timedelta) -> _TokenStore:
        rate = rule.max_tokens_per_s * self._part
        store = self._stores.get(key)
        if store is None:
            full = rate * (TOKEN_STORE / SECOND)
            store = self._stores[key] = _TokenStore(rate, full, now)
        store.rate = rate
        store.fill(now)
        return store


def _key(request: GrantRequest) -> OwnerClass:
    return OwnerClass(request.owner, request.work_class)


def _key_of(rule: Rule) -> OwnerClass:
    return OwnerClass(rule.owner, WorkClass(rule.work_class.value))
