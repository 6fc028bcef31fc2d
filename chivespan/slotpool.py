"""Slot accounting for one slice: counts, grants, and recovery after a takeover."""

import secrets
from collections.abc import Callable, Iterator
from itertools import count

from chivespan.clock import MILLISECOND, Clock
from chivespan.engineapi import EngineLoad
from chivespan.granttable import GrantTable, LiveGrant
from chivespan.linkmessages import SliceLoad
from chivespan.messages import Grant, GrantRequest, HeldGrant, HeldGrants, WorkClass
from chivespan.policies import Policies
from chivespan.slices import Slice
from chivespan.targetstate import TargetState

RECOVERY_SLOT_DIVISOR = 4


class SlotPool:
    """Counts every grant on every target.

    During recovery, grants of a previous slice owner may not be reported yet. Until
    then, only a quarter of each target's slots is granted, or as many as the engine
    itself reports as idle. A target's work thus stays below its slots plus a quarter,
    unless a holder does not report within the grant lifetime.

    :param revoke: sends a revocation; called with the holder's name and the grant id.
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
        """The targets that accept new work."""
        return (target for target in self.targets.values() if target.serving)

    @property
    def total_slots(self) -> int:
        """Slots that may be used now, on all targets."""
        return sum(target.usable_slots for target in self.targets.values())

    def held(self, work_class: WorkClass) -> int:
        """Return the number of slots held by one work class."""
        return sum(target.counts[work_class] for target in self.targets.values())

    def reconfigure(self, slice_: Slice) -> None:
        """Apply a change of targets; removed ones finish their work but get none."""
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
        """Recompute the usable slots of all targets."""
        now = self._clock.monotonic()
        for target in self.targets.values():
            target.refresh(now)

    def expect_reports(self, holders: set[str]) -> None:
        """End the recovery phase early once all these holders have reported."""
        self._unreported = holders

    def allocate(
        self, request: GrantRequest, holder: str, target: TargetState
    ) -> Grant:
        """Allocate a slot on a target and return the grant for it."""
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
        """Free a grant's slot; None if the grant is unknown or has expired."""
        grant = self.grants.pop(grant_id)
        if grant is None:
            return None
        target = self.targets[grant.target]
        target.counts[grant.work_class] -= 1
        target.revoking -= grant.revoked
        self._remove_if_drained(target)
        return grant

    def revoke(self, grant: LiveGrant) -> None:
        """Revoke a grant; it expires after ``revoke_bound`` even if not released."""
        grant.revoked = True
        grant.expires_at = self._clock.monotonic() + self._policies.revoke_bound
        self.targets[grant.target].revoking += 1
        self._revoke(grant.holder, grant.grant_id)

    def report(self, holder: str, held: HeldGrants) -> None:
        """Reconcile the grants of a holder with its report."""
        for known in self.grants.of_holder(holder):
            self._reconcile(known, held)
        for reported in held.grants:
            if reported.grant_id not in self.grants:
                self._adopt(reported, holder)
        self._mark_reported(holder)
        self.refresh()

    def report_load(self, target_name: str, load: EngineLoad) -> None:
        """Apply a load report of an engine."""
        target = self.targets.get(target_name)
        if target is None:
            return
        if target.recovering and target.reported is None:
            target.unreported_slots = max(0, load.running + load.waiting - target.used)
        target.apply_report(load)
        target.refresh(self._clock.monotonic())

    def holder_lost(self, holder: str) -> None:
        """Let a holder's grants expire unless it reconnects and reports them."""
        expires_at = self._clock.monotonic() + self._policies.grant_lifetime
        for grant in self.grants.of_holder(holder):
            if grant.expires_at is None:
                grant.expires_at = expires_at

    def expire(self) -> list[LiveGrant]:
        """Release and return the expired grants."""
        expired = self.grants.expired(self._clock.monotonic())
        for grant in expired:
            self.release(grant.grant_id)
        return expired

    def load(self, slice_id: str, queued_online: int) -> SliceLoad:
        """Return the slice's load as counted by this pool."""
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
        """Confirm a grant that its holder reports; release one that never arrived.

        An unreported grant younger than the grant lifetime may still be in transit.
        """
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
