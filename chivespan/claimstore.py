"""One partition of claims: grants keyed requests and records their outcomes."""

from chivespan.claimfold import ClaimFold, HeldClaim
from chivespan.clock import NO_WAIT
from chivespan.envelope import decode_envelope, open_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import ClaimReply, ClaimRequest, OutcomeRequest
from chivespan.partitionstore import PartitionStore
from chivespan.records import CarriedOutcome, Claim, ClaimOutcome


class ClaimStore(PartitionStore[ClaimFold]):
    """Serves the requests of entries to one partition of claims."""

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Grant the execution of a keyed request, or return its recorded answer.

        :raises ChivespanError: ``log_unavailable`` if nothing was claimed;
            ``acceptance_unknown``; ``key_reused``; ``outcome_unknown`` if the request
            may have been executed and its answer is not known.
        """
        await self._follower.require_caught_up()
        held = self.fold.claim(request.owner, request.key)
        if held is not None and not held.known and await self._follower.catch_up():
            held = self.fold.claim(request.owner, request.key)
        if held is None:
            self._appender.require_available()
            offset = await self._appender.append(_claim(request))
            await self._follower.wait_applied(offset)
            held = self.fold.claim(request.owner, request.key)
        if held is None:
            reason = "the claim was released concurrently; send the request again"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        return await self._reply(request, held)

    async def record(self, request: OutcomeRequest) -> None:
        """Record the outcome of a granted claim.

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
        reason = f"{self._stream} has no claim outcome at offset {held.outcome_offset}"
        raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)

    async def _recorded_outcome(
        self, request: ClaimRequest, held: HeldClaim
    ) -> ClaimOutcome:
        """Return a recorded outcome.

        A failed read must not be reported as an error that means "not executed".

        :raises ChivespanError: ``outcome_unknown`` if the outcome cannot be read.
        """
        try:
            return await self._read_outcome(request, held)
        except ChivespanError as error:
            reason = (
                "the request was executed but its answer cannot be read: "
                f"{error.message}"
            )
            raise ChivespanError(ErrorKind.OUTCOME_UNKNOWN, reason) from error

    async def _read_outcome(
        self, request: ClaimRequest, held: HeldClaim
    ) -> ClaimOutcome:
        """Read a recorded outcome, retrying if it was carried to a newer offset."""
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
            reason = f"the key {request.key!r} was used for a different request"
            raise ChivespanError(ErrorKind.KEY_REUSED, reason)
        if held.known:
            outcome = await self._recorded_outcome(request, held)
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
                f"a request with the key {request.key!r} was sent before; it is not "
                "known whether it was executed"
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
