"""The closed list of error kinds and the properties of each kind.

Callers receive ``may_have_run`` in the error body. Only kinds that are raised before
the first byte is sent to a target may report that the request was not run.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivespan.messages import OwnerShare


class ErrorKind(StrEnum):
    """Every kind of error reported to callers, operators and peers."""

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
    QUOTA_EXCEEDED = "quota_exceeded"
    NO_CAPACITY = "no_capacity"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
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
class ErrorProperties:
    """How a kind of error is reported to callers.

    :param status: HTTP status of the response.
    :param may_have_run: whether the request may have been run.
    :param retry_after: default delay before a retry; None if no retry is suggested.
    """

    status: int
    may_have_run: bool
    retry_after: timedelta | None = None


SHORT_RETRY_AFTER = timedelta(seconds=1)
LONG_RETRY_AFTER = timedelta(seconds=10)

ERROR_PROPERTIES: dict[ErrorKind, ErrorProperties] = {
    ErrorKind.BAD_REQUEST: ErrorProperties(400, False),
    ErrorKind.UNKNOWN_FIELD: ErrorProperties(400, False),
    ErrorKind.BODY_TOO_LARGE: ErrorProperties(413, False),
    ErrorKind.REQUEST_TOO_SLOW: ErrorProperties(408, False),
    ErrorKind.UNAUTHENTICATED: ErrorProperties(401, False),
    ErrorKind.FORBIDDEN: ErrorProperties(403, False),
    ErrorKind.NOT_FOUND: ErrorProperties(404, False),
    ErrorKind.UNKNOWN_MODEL: ErrorProperties(404, False),
    ErrorKind.UNKNOWN_OWNER: ErrorProperties(403, False),
    ErrorKind.NO_RULE: ErrorProperties(403, False),
    ErrorKind.KEY_REUSED: ErrorProperties(409, False),
    ErrorKind.VERSION_CONFLICT: ErrorProperties(409, False),
    ErrorKind.INVALID_DOCUMENT: ErrorProperties(422, False),
    ErrorKind.INVALID_SETTING: ErrorProperties(422, False),
    ErrorKind.OWNER_LIMIT: ErrorProperties(429, False, SHORT_RETRY_AFTER),
    ErrorKind.QUOTA_EXCEEDED: ErrorProperties(429, False, SHORT_RETRY_AFTER),
    ErrorKind.NO_CAPACITY: ErrorProperties(503, False, SHORT_RETRY_AFTER),
    ErrorKind.PROMPT_QUARANTINED: ErrorProperties(503, False, LONG_RETRY_AFTER),
    ErrorKind.REQUEST_QUARANTINED: ErrorProperties(503, False, LONG_RETRY_AFTER),
    ErrorKind.DEADLINE_PASSED: ErrorProperties(504, False, SHORT_RETRY_AFTER),
    ErrorKind.NO_DISPATCHER: ErrorProperties(503, False, SHORT_RETRY_AFTER),
    ErrorKind.NO_TARGET: ErrorProperties(503, False, LONG_RETRY_AFTER),
    ErrorKind.LOG_UNAVAILABLE: ErrorProperties(503, False, LONG_RETRY_AFTER),
    ErrorKind.LOG_EXPIRED: ErrorProperties(503, False, SHORT_RETRY_AFTER),
    ErrorKind.NOT_READY: ErrorProperties(503, False, SHORT_RETRY_AFTER),
    ErrorKind.LEAVING: ErrorProperties(503, False, SHORT_RETRY_AFTER),
    ErrorKind.TARGET_UNREACHABLE: ErrorProperties(502, False, SHORT_RETRY_AFTER),
    ErrorKind.TARGET_REFUSED: ErrorProperties(400, True),
    ErrorKind.TARGET_FAILED: ErrorProperties(502, True, SHORT_RETRY_AFTER),
    ErrorKind.TARGET_TIMEOUT: ErrorProperties(504, True, SHORT_RETRY_AFTER),
    ErrorKind.STREAM_BROKEN: ErrorProperties(502, True, SHORT_RETRY_AFTER),
    ErrorKind.OUTCOME_UNKNOWN: ErrorProperties(409, True),
    ErrorKind.ACCEPTANCE_UNKNOWN: ErrorProperties(503, True, LONG_RETRY_AFTER),
    ErrorKind.UNCONFIRMED: ErrorProperties(504, True, SHORT_RETRY_AFTER),
    ErrorKind.ITEM_FAILED: ErrorProperties(422, True),
    ErrorKind.CANCELLED: ErrorProperties(409, True),
    ErrorKind.REVOKED: ErrorProperties(503, True, SHORT_RETRY_AFTER),
    ErrorKind.PROTOCOL: ErrorProperties(500, False),
    ErrorKind.INTERNAL: ErrorProperties(500, True, SHORT_RETRY_AFTER),
}


class ChivespanError(Exception):
    """An error of one kind of the closed list.

    :param kind: kind of the error.
    :param message: one sentence for people, which says what is affected.
    :param retry_after: delay before a retry; defaults to that of the kind.
    :param shares: owners whose work holds the capacity, for refusals.
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
            retry_after = ERROR_PROPERTIES[kind].retry_after
        self.retry_after = retry_after
        self.shares = tuple(shares)

    @property
    def properties(self) -> ErrorProperties:
        """Properties of this error's kind."""
        return ERROR_PROPERTIES[self.kind]
