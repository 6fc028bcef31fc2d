"""Client of the batch processes for keyed requests that run at most once."""

import uuid
from dataclasses import dataclass
from datetime import timedelta

import anyio

from chivespan.batchlinks import BatchLinks, new_request_id
from chivespan.claimfold import claim_partition, claims_stream
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import ClaimReply, ClaimRequest, Done, OutcomeRequest
from chivespan.targethttp import HttpResponse

RELEASE_TIMEOUT = timedelta(seconds=1)
NOT_EXECUTED_KINDS = frozenset({ErrorKind.ACCEPTANCE_UNKNOWN, ErrorKind.NOT_READY})


@dataclass(frozen=True, slots=True)
class GrantedClaim:
    """The exclusive right to send a keyed request once."""

    owner: str
    key: str
    claim_offset: int


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer recorded for an earlier submission of a keyed request."""

    answer: HttpResponse


class ClaimClient:
    """Claims keyed requests and records their outcomes; one per process."""

    def __init__(self, links: BatchLinks) -> None:
        self._links = links

    async def claim(
        self, owner: str, key: str, digest: str, service: str, path: str
    ) -> GrantedClaim | RecordedAnswer:
        """Claim the execution of a request, or return its recorded answer.

        :param digest: hash of the whole request.
        :raises ChivespanError: ``log_unavailable`` if this submission was not executed;
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
            if error.kind not in NOT_EXECUTED_KINDS:
                raise
            if error.kind is ErrorKind.ACCEPTANCE_UNKNOWN:
                await self._release_claim(request)
            reason = f"not executed because the claim failed: {error.message}"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason) from error
        if reply.granted:
            return GrantedClaim(owner, key, reply.claim_offset)
        answer = HttpResponse(reply.status, reply.content_type, reply.body or b"")
        return RecordedAnswer(answer)

    async def record_answer(self, claim: GrantedClaim, answer: HttpResponse) -> None:
        """Record the target's answer for later submissions of the same request.

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
        """Record that it cannot be determined whether the request was executed.

        :raises ChivespanError: ``log_unavailable``; ``acceptance_unknown``.
        """
        await self._record(_outcome(claim, known=False, ran=True))

    async def record_not_run(self, claim: GrantedClaim) -> None:
        """Release a claim whose request was definitely not executed.

        :raises ChivespanError: ``log_unavailable``; ``acceptance_unknown``.
        """
        await self._record(_outcome(claim, known=True, ran=False))

    async def _record(self, request: OutcomeRequest) -> None:
        stream = claims_stream(claim_partition(request.owner, request.key))
        await self._links.ask_any(stream, request, Done)

    async def _release_claim(self, request: ClaimRequest) -> None:
        """Try once to release a claim that may be in the log but was not confirmed."""
        outcome = OutcomeRequest(
            request_id=new_request_id(),
            owner=request.owner,
            key=request.key,
            claimant=request.claimant,
            known=True,
            ran=False,
        )
        with anyio.move_on_after(RELEASE_TIMEOUT.total_seconds()):
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
