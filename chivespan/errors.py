"""The closed list of error kinds, and the table from kind to answer.

``may_have_run`` is what a caller is told about its request: only kinds raised before
the first byte went to a target may say that it was not run.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivespan.messages import OwnerShare


class ErrorKind(StrEnum):
    """Every error that chivespan tells a caller, an operator or a peer."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_FIELD = "unknown_field"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TOO_SLOW = "request_too_slow"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_OWNER = "unknown_owner"
    NO_RULE = "no_rule"
    KEY_REUSED = "key_reused"
    VERSION_CONFLICT = "version_conflict"
    INVALID_DOCUMENT = "invalid_document"
    INVALID_SETTING = "invalid_setting"
    OWNER_LIMIT = "owner_limit"
    NO_CAPACITY = "no_capacity"
    DEADLINE_PASSED = "deadline_passed"
    NO_DISPATCHER = "no_dispatcher"
    NO_TARGET = "no_target"
    LOG_UNAVAILABLE = "log_unavailable"
    LOG_EXPIRED = "log_expired"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    TARGET_TIMEOUT = "target_timeout"
    STREAM_BROKEN = "stream_broken"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ACCEPTANCE_UNKNOWN = "acceptance_unknown"
    UNCONFIRMED = "unconfirmed"
    ITEM_FAILED = "item_failed"
    CANCELLED = "cancelled"
    REVOKED = "revoked"
    PROTOCOL = "protocol"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Answer:
    """What a kind of error becomes towards a caller."""

    status: int
    may_have_run: bool
    retry_after: timedelta | None = None


SOON = timedelta(seconds=1)
LATER = timedelta(seconds=10)

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, False),
    ErrorKind.UNKNOWN_FIELD: Answer(400, False),
    ErrorKind.BODY_TOO_LARGE: Answer(413, False),
    ErrorKind.REQUEST_TOO_SLOW: Answer(408, False),
    ErrorKind.UNAUTHENTICATED: Answer(401, False),
    ErrorKind.FORBIDDEN: Answer(403, False),
    ErrorKind.NOT_FOUND: Answer(404, False),
    ErrorKind.UNKNOWN_MODEL: Answer(404, False),
    ErrorKind.UNKNOWN_OWNER: Answer(403, False),
    ErrorKind.NO_RULE: Answer(403, False),
    ErrorKind.KEY_REUSED: Answer(409, False),
    ErrorKind.VERSION_CONFLICT: Answer(409, False),
    ErrorKind.INVALID_DOCUMENT: Answer(422, False),
    ErrorKind.INVALID_SETTING: Answer(422, False),
    ErrorKind.OWNER_LIMIT: Answer(429, False, SOON),
    ErrorKind.NO_CAPACITY: Answer(503, False, SOON),
    ErrorKind.DEADLINE_PASSED: Answer(504, False, SOON),
    ErrorKind.NO_DISPATCHER: Answer(503, False, SOON),
    ErrorKind.NO_TARGET: Answer(503, False, LATER),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, False, LATER),
    ErrorKind.LOG_EXPIRED: Answer(503, False, SOON),
    ErrorKind.NOT_READY: Answer(503, False, SOON),
    ErrorKind.LEAVING: Answer(503, False, SOON),
    ErrorKind.TARGET_UNREACHABLE: Answer(502, False, SOON),
    ErrorKind.TARGET_REFUSED: Answer(400, True),
    ErrorKind.TARGET_FAILED: Answer(502, True, SOON),
    ErrorKind.TARGET_TIMEOUT: Answer(504, True, SOON),
    ErrorKind.STREAM_BROKEN: Answer(502, True, SOON),
    ErrorKind.OUTCOME_UNKNOWN: Answer(409, True),
    ErrorKind.ACCEPTANCE_UNKNOWN: Answer(503, True, LATER),
    ErrorKind.UNCONFIRMED: Answer(504, True, SOON),
    ErrorKind.ITEM_FAILED: Answer(422, True),
    ErrorKind.CANCELLED: Answer(409, True),
    ErrorKind.REVOKED: Answer(503, True, SOON),
    ErrorKind.PROTOCOL: Answer(500, False),
    ErrorKind.INTERNAL: Answer(500, True, SOON),
}


class ChivespanError(Exception):
    """An error with a kind of the closed list.

    :param kind: which error it is.
    :param message: one sentence for the person who reads it, naming the place.
    :param retry_after: when to come back; the table's value if none is given.
    :param shares: whose work holds the capacity, for refusals.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        retry_after: timedelta | None = None,
        shares: Sequence["OwnerShare"] = (),
    ) -> None:
        super().__init__(f"{kind.value}: {message}")
        self.kind = kind
        self.message = message
        if retry_after is None:
            retry_after = ANSWERS[kind].retry_after
        self.retry_after = retry_after
        self.shares = tuple(shares)

    @property
    def answer(self) -> Answer:
        """The row of the table for this error's kind."""
        return ANSWERS[self.kind]
