"""The slots of a slice's targets: counts, grants, take-over from an earlier owner."""

import secrets
from collections.abc import Callable, Iterator
from itertools import count

from chivespan.clock import MILLISECOND, Clock
from chivespan.engineapi import EngineLoad
from chivespan.granttable import GrantTable, LiveGrant
from chivespan.messages import (
    Grant,
    GrantRequest,
    HeldGrant,
    HeldGrants,
    SliceLoad,
    WorkClass,
)
from chivespan.policies import Policies
from chivespan.slices import Slice
from chivespan.targetstate import TargetState

RECOVERY_SLOT_DIVISOR = 4


class SlotPool:
    """Counts every grant on every target.

    While grants of an earlier owner may be out unseen, a quarter of each target's slots
    is given, or what the engine itself reports as idle. So a target's work stays below
    its slots and a quarter, unless a holder reports nothing within the grant lifetime.

    :param revoke: tells a holder to give a grant back.
    """

    def __init__(
        self, clock: Clock, policies: Policies, revoke: Callable[[str, str], None]
    ) -> None:
        self.grants = GrantTable()
        self.targets: dict[str, TargetState] = {}
        self._clock = clock
        self._policies = policies
        self._revoke = revoke
        self._id_prefix = secrets.token_hex(4)
        self._id_counter = count()
        self._unreported: set[str] | None = None

    @property
    def serving_targets(self) -> Iterator[TargetState]:
        """The targets that may have new work."""
        return (target for target in self.targets.values() if target.serving)

    @property
    def total_slots(self) -> int:
        """Slots that may be used now."""
        return sum(target.usable_slots for target in self.targets.values())

    def held(self, work_class: WorkClass) -> int:
        """Return how many slots work of a class holds."""
        return sum(target.counts[work_class] for target in self.targets.values())

    def reconfigure(self, slice_: Slice) -> None:
        """Take over changed targets; those gone keep what runs and get nothing new."""
        listed = {runner.name: runner for runner in slice_.runners}
        for target in list(self.targets.values()):
            target.listed = target.name in listed
            self._remove_if_drained(target)
        for name, runner in listed.items():
            if name in self.targets:
                self.targets[name].runner = runner
            else:
                self.targets[name] = self._new_target(TargetState(runner))
        self.refresh()

    def refresh(self) -> None:
        """Work out again which slots may be used."""
        now = self._clock.monotonic()
        for target in self.targets.values():
            target.refresh(now)

    def expect_reports(self, holders: set[str]) -> None:
        """End the careful phase early once all these holders have reported."""
        self._unreported = holders

    def allocate(
        self, request: GrantRequest, holder: str, target: TargetState
    ) -> Grant:
        """Give a slot of a target."""
        grant = Grant(
            request_id=request.request_id,
            grant_id=f"{self._id_prefix}-{next(self._id_counter)}",
            target=target.name,
            address=target.runner.address,
            lifetime_ms=round(self._policies.grant_lifetime / MILLISECOND),
        )
        live = LiveGrant(
            grant_id=grant.grant_id,
            target=target.name,
            holder=holder,
            owner=request.owner,
            work_class=request.work_class,
            granted_at=self._clock.monotonic(),
            tokens=request.tokens,
        )
        self._add(live)
        return grant

    def release(self, grant_id: str) -> LiveGrant | None:
        """Free a grant's slot; None when it lapsed before."""
        grant = self.grants.pop(grant_id)
        if grant is None:
            return None
        target = self.targets[grant.target]
        target.counts[grant.work_class] -= 1
        target.revoking -= grant.revoked
        self._remove_if_drained(target)
        return grant

    def revoke(self, grant: LiveGrant) -> None:
        """Tell the holder of a grant to give it back; it lapses soon in any case."""
        grant.revoked = True
        grant.expires_at = self._clock.monotonic() + self._policies.revoke_bound
        self.targets[grant.target].revoking += 1
        self._revoke(grant.holder, grant.grant_id)

    def report(self, holder: str, held: HeldGrants) -> None:
        """Take a holder's word for what it holds."""
        for known in self.grants.of_holder(holder):
            self._reconcile(known, held)
        for reported in held.grants:
            if reported.grant_id not in self.grants:
                self._adopt(reported, holder)
        self._mark_reported(holder)
        self.refresh()

    def report_load(self, target_name: str, load: EngineLoad) -> None:
        """Take in an engine's own report."""
        target = self.targets.get(target_name)
        if target is None:
            return
        if target.recovering and target.reported is None:
            target.unreported_slots = max(0, load.running + load.waiting - target.used)
        target.apply_report(load)
        target.refresh(self._clock.monotonic())

    def holder_lost(self, holder: str) -> None:
        """Let a holder's grants lapse unless it comes back and reports them."""
        expires_at = self._clock.monotonic() + self._policies.grant_lifetime
        for grant in self.grants.of_holder(holder):
            if grant.expires_at is None:
                grant.expires_at = expires_at

    def expire(self) -> list[LiveGrant]:
        """Take back and return the grants whose time is over."""
        expired = self.grants.expired(self._clock.monotonic())
        for grant in expired:
            self.release(grant.grant_id)
        return expired

    def load(self, slice_id: str, queued_online: int) -> SliceLoad:
        """Return the slice's load as counted here."""
        targets = self.targets.values()
        return SliceLoad(
            slice_id=slice_id,
            free_slots=sum(max(0, target.free) for target in targets),
            total_slots=self.total_slots,
            queued_online=queued_online,
            batch_running=self.held(WorkClass.batch),
        )

    def _new_target(self, target: TargetState) -> TargetState:
        slots = target.runner.slots
        target.unreported_slots = slots - max(1, slots // RECOVERY_SLOT_DIVISOR)
        target.recovering_until = (
            self._clock.monotonic() + self._policies.grant_lifetime
        )
        return target

    def _mark_reported(self, holder: str) -> None:
        if self._unreported is None:
            return
        self._unreported.discard(holder)
        if not self._unreported:
            self._unreported = None
            for target in self.targets.values():
                target.end_recovery()

    def _reconcile(self, known: LiveGrant, held: HeldGrants) -> None:
        """Keep a grant that its holder names; drop one that it never got."""
        age = self._clock.monotonic() - known.granted_at
        if any(grant.grant_id == known.grant_id for grant in held.grants):
            if not known.revoked:
                known.expires_at = None
        elif age >= self._policies.grant_lifetime:
            self.release(known.grant_id)

    def _adopt(self, reported: HeldGrant, holder: str) -> None:
        target = self.targets.get(reported.target)
        if target is None:
            return
        live = LiveGrant(
            grant_id=reported.grant_id,
            target=reported.target,
            holder=holder,
            owner=reported.owner,
            work_class=reported.work_class,
            granted_at=self._clock.monotonic(),
        )
        self._add(live)
        target.unreported_slots = max(0, target.unreported_slots - 1)

    def _add(self, grant: LiveGrant) -> None:
        self.grants.add(grant)
        self.targets[grant.target].counts[grant.work_class] += 1

    def _remove_if_drained(self, target: TargetState) -> None:
        if not target.listed and target.used == 0:
            self.targets.pop(target.name, None)
