"""One partition of claims: who may run a keyed request, and what became of it."""

from chivespan.claimfold import ClaimFold, HeldClaim
from chivespan.clock import NO_WAIT
from chivespan.envelope import decode_envelope, open_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import ClaimReply, ClaimRequest, OutcomeRequest
from chivespan.partitionstore import PartitionStore
from chivespan.records import CarriedOutcome, Claim, ClaimOutcome


class ClaimStore(PartitionStore[ClaimFold]):
    """Carries out what entries ask of one partition's claims."""

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Grant the one run of a keyed request, or return the recorded answer.

        :raises ChivespanError: ``log_unavailable`` when nothing was claimed;
            ``acceptance_unknown``; ``key_reused``; ``outcome_unknown`` when the
            request may have run and its answer isn't known.
        """
        await self._follower.reach_current()
        held = self.fold.claim(request.owner, request.key)
        if held is not None and not held.known and await self._follower.catch_up():
            held = self.fold.claim(request.owner, request.key)
        if held is None:
            self._appender.require_ready()
            offset = await self._appender.append(_claim(request))
            await self._follower.wait_applied(offset)
            held = self.fold.claim(request.owner, request.key)
        if held is None:
            reason = "the claim was given back by another; send the request again"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        return await self._reply(request, held)

    async def record(self, request: OutcomeRequest) -> None:
        """Record what became of a granted claim.

        :raises ChivespanError: ``log_unavailable``; ``acceptance_unknown``.
        """
        outcome = ClaimOutcome(
            owner=request.owner,
            key=request.key,
            known=request.known,
            ran=request.ran,
            claim_offset=request.claim_offset,
            claimant=request.claimant,
            status=request.status,
            content_type=request.content_type,
            body=request.body or b"",
        )
        offset = await self._appender.append(outcome)
        await self._follower.wait_applied(offset)

    async def outcome(self, held: HeldClaim) -> ClaimOutcome:
        """Return the outcome recorded for a claim.

        :raises ChivespanError: ``log_unavailable``; ``log_expired``.
        """
        page = await self._log.read(self._stream, held.outcome_offset, 1, NO_WAIT)
        if page.records:
            record = open_envelope(decode_envelope(page.records[0].payload))
            if isinstance(record, CarriedOutcome):
                return record.outcome
            if isinstance(record, ClaimOutcome):
                return record
        reason = f"{self._stream} shows no outcome at {held.outcome_offset}"
        raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)

    async def _known_outcome(
        self, request: ClaimRequest, held: HeldClaim
    ) -> ClaimOutcome:
        """Return a recorded outcome; when it can't be read, never say "not run"."""
        try:
            return await self._outcome_where_it_is(request, held)
        except ChivespanError as error:
            reason = f"the request has run, its answer can't be read: {error.message}"
            raise ChivespanError(ErrorKind.OUTCOME_UNKNOWN, reason) from error

    async def _outcome_where_it_is(
        self, request: ClaimRequest, held: HeldClaim
    ) -> ClaimOutcome:
        """Return a recorded outcome, also when it was carried forward meanwhile."""
        try:
            return await self.outcome(held)
        except ChivespanError as error:
            if error.kind is not ErrorKind.LOG_EXPIRED:
                raise
        await self._follower.catch_up()
        carried = self.fold.claim(request.owner, request.key)
        return await self.outcome(carried or held)

    async def _reply(self, request: ClaimRequest, held: HeldClaim) -> ClaimReply:
        if held.digest != request.digest:
            reason = f"the key {request.key!r} stands for another request"
            raise ChivespanError(ErrorKind.KEY_REUSED, reason)
        if held.known:
            outcome = await self._known_outcome(request, held)
            return ClaimReply(
                request_id=request.request_id,
                granted=False,
                claim_offset=held.offset,
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
            )
        if held.claimant != request.claimant or held.outcome_offset >= 0:
            reason = (
                f"a request with the key {request.key!r} was sent before; whether it "
                "ran isn't known"
            )
            raise ChivespanError(ErrorKind.OUTCOME_UNKNOWN, reason)
        return ClaimReply(
            request_id=request.request_id, granted=True, claim_offset=held.offset
        )


def _claim(request: ClaimRequest) -> Claim:
    return Claim(
        owner=request.owner,
        key=request.key,
        digest=request.digest,
        service=request.service,
        path=request.path,
        claimant=request.claimant,
    )
