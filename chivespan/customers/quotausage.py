"""Levels of the requests that customers have recently used of their quotas.

A node adds 1 to its level of a customer for each request that it admits. The sum over
all nodes drains at the customer's rate, and each node drains its own level in
proportion. Levels of several nodes can therefore be added up, and the level of a node
that is gone leaves no trace. What peers reported is kept until they report again.

Nodes that don't know of each other yet would each drain their level at the whole rate,
and a flood that is spread over hundreds of nodes would never be seen. No level
therefore drains faster than to 1/e in ``DRAIN_TIME``. A customer that keeps to its rate
has a level of up to rate x ``DRAIN_TIME``, which is added to its burst.

The levels of others are known late, so the part that a node drains is taken of its own
level as others know it. Otherwise, levels that grow would drain faster than the rate.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import nlargest
from math import expm1

from chivespan.clock import NO_WAIT, Clock
from chivespan.customers.allowance import NO_RESERVE, ReportAges, Reserve
from chivespan.customers.customer import Customer
from chivespan.customers.otherslevel import OthersLevel
from chivespan.nodemessages import CustomerUsage

# Longer than reports take. The burst after a pause grows by the rate over this time.
DRAIN_TIME = timedelta(seconds=0.3)
# Time constant with which peers learn of a change of this node's level.
KNOWN_AFTER = timedelta(seconds=0.15)
DRAIN_STEP = timedelta(seconds=0.05)
# Bounds the work of an update after a long time without requests and reports.
MAX_STEPS = 100
# Largest number of other nodes whose load is assumed to grow like this node's. With
# more, each request at this node would count for too many.
MAX_SIMILAR_NODES = 6.0
MAX_REPORTED = 128
# Levels that aren't reported drain too fast at all nodes. The error is large for
# customers whose whole level is a few requests.
MAX_UNREPORTED = 0.25
# A fleet's level below this share of the full level leaves room for every request.
QUIET_SHARE = 0.25
NEGLIGIBLE_LEVEL = 0.001
# Levels are reported in steps of this size.
REPORTED_DECIMALS = 3
DEFAULT_SLACK = 20.0
# Drained levels are removed once this many are kept.
MIN_KEPT_LEVELS = 64


def full_share() -> float:
    """Return the share of a quota that is used while all nodes are in touch."""
    return 1.0


def full_level(customer: Customer) -> float:
    """Return the fleet's level at which a customer's quota is used up.

    >>> full_level(Customer("c", rate_per_s=10.0, burst=5.0))
    8.0
    """
    return customer.burst + level_at_rate(customer)


def level_at_rate(customer: Customer) -> float:
    """Return the level of a customer whose requests come at exactly its rate.

    >>> level_at_rate(Customer("c", rate_per_s=10.0, burst=5.0))
    3.0
    """
    return customer.rate_per_s * DRAIN_TIME.total_seconds()


@dataclass(slots=True)
class _OwnLevel:
    """This node's level of one customer.

    :ivar value: the level at the time of its last update.
    :ivar known: the level as far as others are likely to know it, which drains.
    :ivar updated: time of the last update, on the monotonic clock.
    :ivar full: the level at which the quota was used up at that time.
    """

    value: float
    updated: timedelta
    full: float
    known: float = 0.0


@dataclass(frozen=True, slots=True)
class _PeerLevels:
    """The levels that one peer has reported.

    :ivar reported: when, on the monotonic clock.
    """

    levels: Mapping[str, float] = field(default_factory=dict)
    reported: timedelta = NO_WAIT


class QuotaUsage:
    """Levels of all customers: those of this node and those of its peers.

    :param find: returns the customer in force with a name.
    :param share: returns the part of each quota that is used by the nodes in touch.
    :param slack: requests by which a quota may be exceeded.
    """

    def __init__(
        self,
        clock: Clock,
        find: Callable[[str], Customer | None],
        share: Callable[[], float] = full_share,
        slack: float = DEFAULT_SLACK,
    ) -> None:
        self._clock = clock
        self._find = find
        self._share = share
        self._slack = slack
        self._nodes = 1
        self._ages = ReportAges(clock)
        self._own: dict[str, _OwnLevel] = {}
        self._others: dict[str, OthersLevel] = {}
        self._peers: dict[str, _PeerLevels] = {}
        self._max_kept = MIN_KEPT_LEVELS

    def set_nodes(self, count: int) -> None:
        """Set the number of known nodes, this one included."""
        self._nodes = max(1, count)

    def expect_reports(self, since: timedelta | None) -> None:
        """Set whether other nodes repeat their reports.

        :param since: monotonic time from which on; None if they don't.
        """
        self._ages.expect(since)

    def record(self, customer: Customer) -> None:
        """Count a request that this node admits."""
        if len(self._own) >= self._max_kept:
            self._drop_drained()
            self._max_kept = max(MIN_KEPT_LEVELS, 2 * len(self._own))
        now = self._clock.monotonic()
        empty = _OwnLevel(0.0, now, full_level(customer))
        level = self._own.setdefault(customer.name, empty)
        self._drain(level, customer, now)
        level.value += 1

    def refund(self, customer: Customer) -> None:
        """Take back a request that was counted and has not run."""
        level = self._own.get(customer.name)
        if level is not None:
            self._drain(level, customer, self._clock.monotonic())
            level.value = max(0.0, level.value - 1)

    def level(self, customer: Customer) -> float:
        """Return the level over the whole fleet that is expected now."""
        now = self._clock.monotonic()
        own = self._own_level(customer, now)
        return own + self._expected(customer, now) + self._unheard(customer.name)

    def reserve(self, customer: Customer, limit: float) -> Reserve:
        """Return what is reserved of a customer's quota for late reporters.

        :param limit: the fleet's level up to which requests are admitted.
        """
        late = self._ages.late
        if not late:
            return NO_RESERVE
        name = customer.name
        own = self._own.get(name)
        known = self._reported(name) + (own.known if own else 0.0)
        slow_drain_level = level_at_rate(customer) * self._share()
        levels = {
            each.reporter: self._peers[each.reporter].levels.get(name, 0.0)
            for each in late
        }
        rate = customer.rate_per_s * self._share()
        return self._ages.reserve(levels, known, limit, rate, slow_drain_level)

    def own_share(self, customer: Customer) -> float:
        """Return the share of the fleet's level that comes from this node.

        It is at least that of one of all known nodes.
        """
        now = self._clock.monotonic()
        own = self._own_level(customer, now)
        fleet = own + self._expected(customer, now)
        return max(1 / self._nodes, own / fleet if fleet else 0.0)

    def report_age(self, customer: Customer) -> timedelta:
        """Return the age of the oldest report that has a level of a customer."""
        now = self._clock.monotonic()
        peers = self._peers.values()
        ages = (now - peer.reported for peer in peers if customer.name in peer.levels)
        return max(ages, default=NO_WAIT)

    def own_levels(self) -> list[CustomerUsage]:
        """Return this node's levels, in the form used in its reports."""
        self._drop_drained()
        return self._messages({name: own.value for name, own in self._own.items()})

    def totals(self) -> list[CustomerUsage]:
        """Return the levels of all nodes, in the form used in reports.

        Those of customers that are far from their quotas are left out, except that of
        the one that is closest: nodes repeat their reports only while they know of
        usage, and would count as not heard otherwise.
        """
        self._drop_drained()
        totals = {name: each.total for name, each in self._others.items()}
        for name, own in self._own.items():
            totals[name] = totals.get(name, 0.0) + own.value
        relevant = {
            name: level
            for name, level in totals.items()
            if not self._is_far_below_quota(name, level)
        }
        return self._messages(relevant) or self._messages(totals)[:1]

    def sum_levels(
        self, reports: Iterable[Iterable[CustomerUsage]]
    ) -> list[CustomerUsage]:
        """Return the sum of several nodes' levels for each customer."""
        levels: dict[str, float] = {}
        for report in reports:
            for each in report:
                levels[each.customer] = levels.get(each.customer, 0.0) + each.level
        return self._messages(levels)

    def report(
        self,
        peer: str,
        levels: Iterable[CustomerUsage],
        own: Iterable[CustomerUsage] = (),
        nodes: int = 1,
    ) -> None:
        """Replace the levels of one peer.

        :param own: the part of ``levels`` that comes from this node.
        :param nodes: number of other nodes that the report covers.
        """
        reported = {each.customer: each.level for each in levels}
        for each in own:
            if each.customer in reported:
                left = reported[each.customer] - each.level
                reported[each.customer] = max(0.0, left)
        self._replace(peer, reported, is_trend=peer in self._peers)
        self._peers[peer] = _PeerLevels(reported, self._clock.monotonic())
        self._ages.record(peer, nodes, not reported)

    def remove_peer(self, peer: str) -> None:
        """Drop the levels of a peer that has left or is now counted in a sum."""
        self._replace(peer, {}, is_trend=False)
        self._peers.pop(peer, None)
        self._ages.forget(peer)

    def _replace(
        self, peer: str, levels: Mapping[str, float], *, is_trend: bool
    ) -> None:
        """Replace a peer's part of the sums.

        :param is_trend: whether changes are expected to go on.
        """
        now = self._clock.monotonic()
        before = self._peers.get(peer, _PeerLevels()).levels
        for name in levels.keys() | before.keys():
            others = self._others.setdefault(name, OthersLevel(now))
            others.add(levels.get(name, 0.0) - before.get(name, 0.0), is_trend, now)
            others.peers += (name in levels) - (name in before)
            if not others.peers:
                del self._others[name]

    def _unheard(self, name: str) -> float:
        """Return what others are likely to have admitted and not yet reported.

        The levels of others are assumed to grow in proportion to that of this node.
        """
        own = self._own.get(name)
        if own is None or own.value <= own.known:
            return 0.0
        others = self._reported(name)
        return (own.value - own.known) * min(
            MAX_SIMILAR_NODES, others / max(own.known, 1.0)
        )

    def _own_level(self, customer: Customer, now: timedelta) -> float:
        level = self._own.get(customer.name)
        if level is None:
            return 0.0
        self._drain(level, customer, now)
        return level.value

    def _expected(self, customer: Customer, now: timedelta) -> float:
        others = self._others.get(customer.name)
        return 0.0 if others is None else others.expected(now, customer.rate_per_s)

    def _reported(self, name: str) -> float:
        others = self._others.get(name)
        return 0.0 if others is None else others.total

    def _drain(self, own: _OwnLevel, customer: Customer, now: timedelta) -> None:
        """Bring an own level up to date.

        A level that was counted under a higher quota is reduced with the quota, as a
        bucket that gets smaller keeps no more than fits into it.
        """
        full = full_level(customer)
        if full < own.full:
            own.value *= full / own.full
            own.known *= full / own.full
        own.full = full
        rate = customer.rate_per_s * self._share()
        others = self._reported(customer.name)
        step = max(DRAIN_STEP, (now - own.updated) / MAX_STEPS)
        while (elapsed := min(now - own.updated, step)) > NO_WAIT:
            self._drain_step(own, others, rate, elapsed)
            if own.value < NEGLIGIBLE_LEVEL:
                own.value = 0.0
                own.known = 0.0
                own.updated = now

    def _drain_step(
        self, own: _OwnLevel, others: float, rate_per_s: float, elapsed: timedelta
    ) -> None:
        """Drain an own level over a short time.

        While reports of others are late, this node's reports are assumed not to reach
        them either. Its level then drains at most by its share of the nodes.

        :param others: the level that the others have reported.
        """
        late = self._ages.late_share
        fleet = max(own.known + others, rate_per_s * DRAIN_TIME.total_seconds())
        part = own.known / fleet if fleet else 0.0
        part -= late * max(0.0, part - 1 / self._ages.nodes)
        own.value = max(0.0, own.value - rate_per_s * elapsed.total_seconds() * part)
        change = (own.value - own.known) * -expm1(-elapsed / KNOWN_AFTER)
        # Squared, since reports sent just after the loss began don't arrive either.
        own.known += change * (1 - late) ** 2 if change > 0 else change
        own.updated += elapsed

    def _drop_drained(self) -> None:
        """Update this node's levels and drop those that have drained."""
        now = self._clock.monotonic()
        for name, own in list(self._own.items()):
            customer = self._find(name)
            if customer is not None and customer.has_quota:
                self._drain(own, customer, now)
                if own.value >= NEGLIGIBLE_LEVEL:
                    continue
            del self._own[name]

    def _is_far_below_quota(self, name: str, level: float) -> bool:
        """Return whether a fleet's level is too low to affect any node.

        Below rate x ``DRAIN_TIME``, nodes drain their levels without regard to others.
        """
        customer = self._find(name)
        if customer is None:
            return False
        full = full_level(customer)
        return level < QUIET_SHARE * full and level < full - customer.burst

    def _messages(self, levels: Mapping[str, float]) -> list[CustomerUsage]:
        """Return the levels that are reported, by falling utilisation."""
        threshold = min(self._slack / 2 / self._nodes, MAX_UNREPORTED)
        names = (name for name, level in levels.items() if level >= threshold)
        chosen = nlargest(
            MAX_REPORTED, names, key=lambda name: self._utilisation(name, levels[name])
        )
        return [
            CustomerUsage(customer=name, level=round(levels[name], REPORTED_DECIMALS))
            for name in chosen
        ]

    def _utilisation(self, name: str, level: float) -> float:
        """Return the fleet's level, or a part of it, as a share of the full one."""
        customer = self._find(name)
        if customer is None or not customer.has_quota:
            return 0.0
        others = self._others.get(name)
        known = level if others is None else max(level, others.total)
        return known / (full_level(customer) or 1.0)
