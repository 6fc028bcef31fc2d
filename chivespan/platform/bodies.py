"""Bodies of the HTTP calls from clients."""

from typing import Any

import msgspec

from chivespan.batchrecords import BatchHeader, BatchItem, BatchResult
from chivespan.decoding import checked, decoding, error_of
from chivespan.errors import ChivespanError, ErrorKind

# More than any engine's memory holds.
MAX_TOKENS = 2**40

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
    """Return the items in the body of a submission.

    :raises ChivespanError: ``bad_request`` when the body is not a valid submission.
    """
    with decoding("submission", error_of(ErrorKind.BAD_REQUEST)):
        submission = _SUBMISSIONS.decode(body)
        for item in submission.items:
            checked("tokens", item.tokens, 0, MAX_TOKENS)
        return tuple(_batch_item(item) for item in submission.items)


def is_submission(body: bytes) -> bool:
    """Return whether a body is a valid submission with items.

    >>> is_submission(b'{"items":[]}'), is_submission(b"x")
    (False, False)
    """
    if not body.lstrip().startswith(b"{"):
        return False
    try:
        return bool(decode_submission(body))
    except ChivespanError:
        return False


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
    """Return the response body that lists the results from position ``start``."""
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


class _Page(msgspec.Struct):
    total: int
    next: int
    results: list[msgspec.Raw]


def shorten_results(body: bytes, max_bytes: int) -> bytes:
    """Drop the last results of a page with more bytes, but never its first.

    >>> page = b'{"total":2,"next":2,"results":[{"id":"a"},{"id":"b"}]}'
    >>> shorten_results(page, 15)
    b'{"total":2,"next":1,"results":[{"id":"a"}]}'
    """
    if len(body) <= max_bytes:
        return body
    page = msgspec.json.decode(body, type=_Page)
    kept = 0
    for result in page.results:
        max_bytes -= len(result)
        if kept and max_bytes < 0:
            break
        kept += 1
    page.next -= len(page.results) - kept
    del page.results[kept:]
    return msgspec.json.encode(page)


def encode_addresses(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the response body to a client's address lookup."""
    return msgspec.json.encode({"frontAddrs": addresses, "ttlS": lifetime_s})
