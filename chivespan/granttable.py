"""Outstanding grants of one slice, and the usage they add up to per owner."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import MILLISECOND
from chivespan.messages import OwnerShare, UsageCount, WorkClass
from chivespan.ownerlimits import OwnerClass


@dataclass(slots=True)
class LiveGrant:
    """A grant that occupies a slot.

    :param tokens: maximum number of tokens that the request may generate.
    :param expires_at: monotonic time at which the slot is reclaimed; None while the
        holder is connected.
    :param revoked: whether a revocation was sent to the holder.
    """

    grant_id: str
    target: str
    holder: str
    owner: str
    work_class: WorkClass
    granted_at: timedelta
    tokens: int = 0
    expires_at: timedelta | None = None
    revoked: bool = False

    @property
    def owner_class(self) -> OwnerClass:
        """Owner and work class that the grant is counted under."""
        return OwnerClass(self.owner, self.work_class)


class GrantTable:
    """All grants of a slice by id, in the order in which they were issued."""

    def __init__(self) -> None:
        self._grants: dict[str, LiveGrant] = {}
        self._held: Counter[OwnerClass] = Counter()

    def __iter__(self) -> Iterator[LiveGrant]:
        return iter(self._grants.values())

    def __len__(self) -> int:
        return len(self._grants)

    def __contains__(self, grant_id: str) -> bool:
        return grant_id in self._grants

    def add(self, grant: LiveGrant) -> None:
        """Insert a grant."""
        self._grants[grant.grant_id] = grant
        self._held[grant.owner_class] += 1

    def pop(self, grant_id: str) -> LiveGrant | None:
        """Remove and return a grant; None if the id is unknown or already removed."""
        grant = self._grants.pop(grant_id, None)
        if grant is not None:
            self._held[grant.owner_class] -= 1
        return grant

    def held(self, key: OwnerClass) -> int:
        """Return the number of grants that an owner holds for one work class."""
        return self._held[key]

    def of_holder(self, holder: str) -> list[LiveGrant]:
        """Return the grants of one holder."""
        return [grant for grant in self if grant.holder == holder]

    def expired(self, now: timedelta) -> list[LiveGrant]:
        """Return the grants whose expiry time has passed."""
        return [
            grant
            for grant in self
            if grant.expires_at is not None and grant.expires_at <= now
        ]

    def unrevoked_batch(self) -> list[LiveGrant]:
        """Return the batch grants that have not been revoked, newest first."""
        return [
            grant
            for grant in reversed(self._grants.values())
            if grant.work_class is WorkClass.batch and not grant.revoked
        ]

    def shares(self) -> list[OwnerShare]:
        """Return the slots held per owner and work class, largest first."""
        return [
            OwnerShare(owner=key.owner, work_class=key.work_class, slots=slots)
            for key, slots in self._held.most_common()
            if slots > 0
        ]


@dataclass(slots=True)
class _Consumption:
    requests: int = 0
    tokens: int = 0
    slot_ms: float = 0.0
    refusals: int = 0


class UsageTotals:
    """Running totals of each owner's usage of one service."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._totals: dict[OwnerClass, _Consumption] = {}

    def record_use(self, grant: LiveGrant, tokens: int, held: timedelta) -> None:
        """Add the usage of a released grant."""
        total = self._total(grant.owner_class)
        total.requests += 1
        total.tokens += tokens
        total.slot_ms += held / MILLISECOND

    def record_refusal(self, key: OwnerClass) -> None:
        """Count a refused request."""
        self._total(key).refusals += 1

    def counts(self) -> list[UsageCount]:
        """Return the totals since this object was created."""
        return [
            UsageCount(
                owner=key.owner,
                service=self._service,
                work_class=key.work_class,
                requests=total.requests,
                tokens=total.tokens,
                slot_ms=round(total.slot_ms),
                refusals=total.refusals,
            )
            for key, total in self._totals.items()
        ]

    def _total(self, key: OwnerClass) -> _Consumption:
        return self._totals.setdefault(key, _Consumption())
