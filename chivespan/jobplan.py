"""Splits a submission into chunks and derives its job id, partition and digest."""

import secrets
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import xxhash

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import SubmitItem

MAX_CHUNK_ITEMS = 512
MAX_CHUNK_BYTES = 256 * 1024
ITEM_OVERHEAD_BYTES = 32


@dataclass(frozen=True, slots=True)
class JobPlan:
    """A complete submission, ready to be sent.

    :param job_key: idempotency key chosen by the owner; empty for none.
    :param idempotent: whether all items may safely be repeated.
    """

    job_id: str
    owner: str
    job_key: str
    service: str
    model: str
    idempotent: bool
    chunks: tuple[tuple[SubmitItem, ...], ...]
    digest: str

    @property
    def items(self) -> int:
        """The number of items in all chunks."""
        return sum(map(len, self.chunks))


def new_job_id(owner: str, job_key: str, partitions: int) -> str:
    """Return a job id, derived from the owner and the key, or random without a key.

    >>> new_job_id("o", "k", 8) == new_job_id("o", "k", 8)
    True
    """
    name = f"{owner}\0{job_key}" if job_key else secrets.token_hex(16)
    hashed = xxhash.xxh3_128_hexdigest(name.encode())
    partition = int(hashed[:8], 16) % partitions
    return f"job-{partition}-{hashed}"


def partition_of(job_id: str) -> int:
    """Return the number of the partition that holds a job.

    :raises ChivespanError: ``not_found`` if the id is malformed.

    >>> partition_of("job-3-0a")
    3
    """
    parts = job_id.split("-")
    if len(parts) != 3 or parts[0] != "job" or not parts[1].isdecimal():
        raise ChivespanError(ErrorKind.NOT_FOUND, f"there is no job {job_id!r}")
    return int(parts[1])


def plan_job(
    items: Sequence[SubmitItem],
    *,
    owner: str,
    job_key: str,
    service: str,
    model: str,
    idempotent: bool,
    partitions: int,
) -> JobPlan:
    """Return the plan for submitting a job.

    :raises ChivespanError: ``bad_request`` if the job has no items.
    """
    if not items:
        raise ChivespanError(ErrorKind.BAD_REQUEST, "a job needs at least one item")
    return JobPlan(
        job_id=new_job_id(owner, job_key, partitions),
        owner=owner,
        job_key=job_key,
        service=service,
        model=model,
        idempotent=idempotent,
        chunks=tuple(_chunks(items)),
        digest=_digest(service, model, items),
    )


def _chunks(items: Iterable[SubmitItem]) -> Iterator[tuple[SubmitItem, ...]]:
    chunk: list[SubmitItem] = []
    size = 0
    for item in items:
        item_size = len(item.body) + len(item.item_key) + ITEM_OVERHEAD_BYTES
        if chunk and (
            len(chunk) == MAX_CHUNK_ITEMS or size + item_size > MAX_CHUNK_BYTES
        ):
            yield tuple(chunk)
            chunk, size = [], 0
        chunk.append(item)
        size += item_size
    yield tuple(chunk)


def _digest(service: str, model: str, items: Iterable[SubmitItem]) -> str:
    hashed = xxhash.xxh3_128()
    for part in _digest_parts(service, model, items):
        hashed.update(len(part).to_bytes(4, "big"))
        hashed.update(part)
    return hashed.hexdigest()


def _digest_parts(
    service: str, model: str, items: Iterable[SubmitItem]
) -> Iterator[bytes]:
    yield service.encode()
    yield model.encode()
    for item in items:
        yield item.item_key.encode()
        yield item.body
