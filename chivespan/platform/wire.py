"""Headers, paths and bodies of the calls that clients and runners make or take."""

from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec

from chivespan.batchrecords import BatchHeader, BatchItem, BatchResult
from chivespan.clock import MILLISECOND
from chivespan.exchange import Reply
from chivespan.responseparser import Header

REQUEST_ID = b"x-chivespan-request-id"
DEADLINE_MS = b"x-chivespan-deadline-ms"
LAST_EVENT_ID = b"last-event-id"
RETRY_AFTER = b"retry-after"
WAIT_MS = b"x-chivespan-wait-ms"
# The id of the runner that a request is meant for; any other answers 421.
EXPECT_TARGET = b"x-chivespan-expect-instance"
# Present where the runner says that it did not run the request.
NOT_RUN = b"x-chivespan-not-executed"
# The runner's mark that an answer is its own.
SEAL = b"x-chivespan-server-seal"

READY_PATH = "/-/readiness"
RESOLVE_PATH = "/-/resolve"
JOB_PATH = "/-/lots/"
ITEM_PATH = "/-/items/"
METRICS_PATH = "/metrics"

STATE_DONE = "completed"
STATE_DEAD = "dead_letter"


class _Item(msgspec.Struct):
    id: str
    path: str
    # Decoded from base64.
    body: bytes
    tokens: int
    headers: dict[str, str] = {}


class _Submission(msgspec.Struct):
    items: list[_Item]


_SUBMISSIONS = msgspec.json.Decoder(_Submission)


def decode_submission(body: bytes) -> tuple[BatchItem, ...]:
    """Return the items of a submission's body.

    :raises ValueError: where it is none.
    """
    submission = _SUBMISSIONS.decode(body)
    return tuple(_batch_item(item) for item in submission.items)


def _batch_item(item: _Item) -> BatchItem:
    headers = item.headers.items()
    return BatchItem(
        item_id=item.id,
        path=item.path,
        headers=[BatchHeader(name=name, value=value) for name, value in headers],
        body=item.body,
        tokens=item.tokens,
    )


def encode_results(total: int, start: int, results: list[BatchResult]) -> bytes:
    """Return the body that lists the results from position ``start`` on."""
    rows = [
        {
            "id": result.item_id,
            "state": STATE_DONE if result.done else STATE_DEAD,
            "text": result.text,
        }
        for result in results
    ]
    page: dict[str, Any] = {
        "total": total,
        "next": start + len(results),
        "results": rows,
    }
    return msgspec.json.encode(page)


def caller_data_centre(query: bytes) -> str:
    """Return the data centre that a client names when it asks where to connect.

    >>> caller_data_centre(b"name=h.example&region=r&zone=z-1"), caller_data_centre(b"")
    ('z-1', '')
    """
    return parse_qs(query.decode("latin-1")).get("zone", [""])[0]


def encode_addresses(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the answer to a client that asks where to connect."""
    return msgspec.json.encode({"frontAddrs": addresses, "ttlS": lifetime_s})


_OF_ONE_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# What each send to a runner sets anew.
_SET_ANEW = frozenset({b"expect", b"content-length", DEADLINE_MS, EXPECT_TARGET})
_NOT_FORWARDED = _OF_ONE_CONNECTION | _SET_ANEW
_SAYS_NOT_RUN = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


def target_headers(
    headers: Iterable[Header], target_id: str, time_left: timedelta, last_event: int
) -> list[Header]:
    """Return the headers of a client's request as a runner gets them.

    :param last_event: the run goes on behind this event; 0 leaves the client's word.
    """
    dropped = _NOT_FORWARDED | {LAST_EVENT_ID} if last_event else _NOT_FORWARDED
    kept = [(name, value) for name, value in headers if name not in dropped]
    kept.append((EXPECT_TARGET, target_id.encode()))
    kept.append((DEADLINE_MS, b"%d" % (time_left // MILLISECOND)))
    if last_event:
        kept.append((LAST_EVENT_ID, b"%d" % last_event))
    return kept


def item_headers(
    headers: Iterable[tuple[str, str]],
    item_id: str,
    host: str,
    target_id: str,
    time_left: timedelta,
    last_event: int,
) -> list[Header]:
    """Return the headers with which a batch item is run."""
    own = [(name.lower().encode(), value.encode()) for name, value in headers]
    own.append((b"host", host.encode()))
    own.append((REQUEST_ID, item_id.encode()))
    return target_headers(own, target_id, time_left, last_event)


def caller_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of a runner's answer as the client gets them."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _OF_ONE_CONNECTION
    ]


def reports_not_run(reply: Reply) -> bool:
    """Return whether the runner says that it did not run the request."""
    other_target = reply.status == HTTPStatus.MISDIRECTED_REQUEST
    return other_target or reply.header(NOT_RUN) is not None


def implies_not_run(status: int) -> bool:
    """Return whether clients read a status as "has not run"."""
    return status in _SAYS_NOT_RUN


def is_response_to(reply: Reply, request_id: str) -> bool:
    """Return whether an answer is a runner's own, and to this request."""
    echoed = reply.header(REQUEST_ID)
    sealed = reply.header(SEAL) is not None
    return sealed and echoed == request_id.encode()
