"""What the entry asks batch processes about keyed requests that run at most once."""

import uuid
from dataclasses import dataclass
from datetime import timedelta

import anyio

from chivespan.batchlinks import BatchLinks, new_request_id
from chivespan.claimfold import claim_partition, claims_stream
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import ClaimReply, ClaimRequest, Done, OutcomeRequest
from chivespan.targethttp import HttpResponse

GIVE_BACK_TIMEOUT = timedelta(seconds=1)
NOT_RUN_KINDS = frozenset({ErrorKind.ACCEPTANCE_UNKNOWN, ErrorKind.NOT_READY})


@dataclass(frozen=True, slots=True)
class GrantedClaim:
    """The right to send a keyed request once."""

    owner: str
    key: str
    claim_offset: int


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer that the first sending of a keyed request got."""

    answer: HttpResponse


class ClaimClient:
    """Claims keyed requests and records their outcomes; one for a process."""

    def __init__(self, links: BatchLinks) -> None:
        self._links = links

    async def claim(
        self, owner: str, key: str, digest: str, service: str, path: str
    ) -> GrantedClaim | RecordedAnswer:
        """Claim the one run of a request, or return the answer recorded before.

        :param digest: hash of the whole request.
        :raises ChivespanError: ``log_unavailable`` when this sending was not run;
            ``key_reused``; ``outcome_unknown``.
        """
        request = ClaimRequest(
            request_id=new_request_id(),
            owner=owner,
            key=key,
            digest=digest,
            service=service,
            path=path,
            claimant=uuid.uuid4().hex,
        )
        stream = claims_stream(claim_partition(owner, key))
        try:
            reply = await self._links.ask_any(stream, request, ClaimReply)
        except ChivespanError as error:
            if error.kind not in NOT_RUN_KINDS:
                raise
            if error.kind is ErrorKind.ACCEPTANCE_UNKNOWN:
                await self._give_back(request)
            reason = f"not run, as it could not be claimed: {error.message}"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason) from error
        if reply.granted:
            return GrantedClaim(owner, key, reply.claim_offset)
        answer = HttpResponse(reply.status, reply.content_type, reply.body or b"")
        return RecordedAnswer(answer)

    async def record_answer(self, claim: GrantedClaim, answer: HttpResponse) -> None:
        """Record the target's answer for later sendings of the same request.

        :raises ChivespanError: ``log_unavailable``; ``acceptance_unknown``.
        """
        await self._record(
            OutcomeRequest(
                request_id=new_request_id(),
                owner=claim.owner,
                key=claim.key,
                claim_offset=claim.claim_offset,
                known=True,
                ran=True,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
        )

    async def record_unknown(self, claim: GrantedClaim) -> None:
        """Record that nobody can know whether the request ran.

        :raises ChivespanError: ``log_unavailable``; ``acceptance_unknown``.
        """
        await self._record(_outcome(claim, known=False, ran=True))

    async def record_not_run(self, claim: GrantedClaim) -> None:
        """Give a claim back; the request surely did not run.

        :raises ChivespanError: ``log_unavailable``; ``acceptance_unknown``.
        """
        await self._record(_outcome(claim, known=True, ran=False))

    async def _record(self, request: OutcomeRequest) -> None:
        stream = claims_stream(claim_partition(request.owner, request.key))
        await self._links.ask_any(stream, request, Done)

    async def _give_back(self, request: ClaimRequest) -> None:
        """Try to free a key whose claim may have been taken but was not granted."""
        outcome = OutcomeRequest(
            request_id=new_request_id(),
            owner=request.owner,
            key=request.key,
            claimant=request.claimant,
            known=True,
            ran=False,
        )
        with anyio.move_on_after(GIVE_BACK_TIMEOUT.total_seconds()):
            try:
                await self._record(outcome)
            except ChivespanError:
                return


def _outcome(claim: GrantedClaim, *, known: bool, ran: bool) -> OutcomeRequest:
    return OutcomeRequest(
        request_id=new_request_id(),
        owner=claim.owner,
        key=claim.key,
        claim_offset=claim.claim_offset,
        known=known,
        ran=ran,
    )
