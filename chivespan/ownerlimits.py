"""Per-owner limits within one slice: concurrency and token rate.

The rules limit an owner for a whole service; each slice enforces its fraction of them.
"""

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
BUCKET_DEPTH = timedelta(seconds=2)


class OwnerClass(NamedTuple):
    """Key for one owner's work of one class."""

    owner: str
    work_class: WorkClass


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one owner; the level is negative after a large request.

    :param rate: tokens added per second.
    :param tokens: tokens that the owner may still generate.
    """

    rate: float
    tokens: float
    refilled_at: timedelta

    def refill(self, now: timedelta) -> None:
        earned = self.rate * ((now - self.refilled_at) / SECOND)
        limit = self.rate * (BUCKET_DEPTH / SECOND)
        self.tokens = min(limit, self.tokens + earned)
        self.refilled_at = now


class _IndexedRule(NamedTuple):
    """A rule and the key under which it is looked up."""

    rule: Rule
    key: OwnerClass


class OwnerLimits:
    """The rules of one service, scaled to the slice's fraction of the service's slots.

    Each slice enforces its fraction without coordination. Because the fraction is
    rounded up, a service of n slices may exceed a limit by less than n.
    """

    def __init__(self, slice_: Slice, configuration: Configuration) -> None:
        self._rules_by_name: dict[str, _IndexedRule] = {}
        self._rules: dict[OwnerClass, Rule] = {}
        self._buckets: dict[OwnerClass, _TokenBucket] = {}
        self._fraction = 1.0
        self.reconfigure(slice_, configuration)

    def reconfigure(self, slice_: Slice, configuration: Configuration) -> None:
        """Apply a change of the rules or of the slice's targets."""
        runners = configuration.runners.values()
        all_slots = sum(
            each.slots for each in runners if each.service == slice_.service
        )
        own_slots = sum(runner.slots for runner in slice_.runners)
        self._fraction = own_slots / max(1, own_slots, all_slots)
        self._index_rules(slice_.service, configuration.rules)
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if key in self._rules and self._rules[key].max_tokens_per_s
        }

    def rule(self, request: GrantRequest) -> Rule | None:
        """Return the rule that applies to a request; None if no rule admits it."""
        return self._rules.get(_key(request))

    def delay(
        self, request: GrantRequest, in_progress: int, now: timedelta
    ) -> timedelta | None:
        """Return how long the owner's limits delay a request; None if they do not.

        :param in_progress: grants that the owner holds for this class in this slice.
        """
        rule = self._rules[_key(request)]
        limit = ceil(rule.max_in_progress * self._fraction)
        if rule.max_in_progress and in_progress >= limit:
            return SECOND
        if rule.max_tokens_per_s == 0:
            return None
        bucket = self._bucket(_key(request), rule, now)
        if bucket.tokens > 0:
            return None
        return SECOND * (1 - bucket.tokens) / bucket.rate

    def charge(self, request: GrantRequest, now: timedelta) -> None:
        """Charge the maximum number of tokens that a granted request may generate."""
        rule = self._rules.get(_key(request))
        if rule is not None and rule.max_tokens_per_s:
            self._bucket(_key(request), rule, now).tokens -= request.tokens

    def refund(self, key: OwnerClass, tokens: int) -> None:
        """Refund tokens that a request was charged for but did not generate."""
        if key in self._buckets:
            self._buckets[key].tokens += tokens

    def _index_rules(self, service: str, rules: Mapping[str, Rule]) -> None:
        """Index the rules of a service; only changed rules get a new key."""
        previous = self._rules_by_name
        self._rules_by_name = {
            name: previous[name]
            if name in previous and previous[name].rule is rule
            else _IndexedRule(rule, _key_of(rule))
            for name, rule in rules.items()
            if rule.service == service
        }
        self._rules = {key: rule for rule, key in self._rules_by_name.values()}

    def _bucket(self, key: OwnerClass, rule: Rule, now: timedelta) -> _TokenBucket:
        rate = rule.max_tokens_per_s * self._fraction
        bucket = self._buckets.get(key)
        if bucket is None:
            full = rate * (BUCKET_DEPTH / SECOND)
            bucket = self._buckets[key] = _TokenBucket(rate, full, now)
        bucket.rate = rate
        bucket.refill(now)
        return bucket


def _key(request: GrantRequest) -> OwnerClass:
    return OwnerClass(request.owner, request.work_class)


def _key_of(rule: Rule) -> OwnerClass:
    return OwnerClass(rule.owner, WorkClass(rule.work_class.value))
