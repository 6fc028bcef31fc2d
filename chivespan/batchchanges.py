"""Changes to batch jobs, each validated against the ledger before it is appended."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime

from chivespan.batchledger import (
    Ledger,
    LedgerJob,
    end_key,
    job_records,
    result_records,
    to_milliseconds,
)
from chivespan.batchrecords import BatchEnd, BatchItem, BatchResult
from chivespan.codec import encode
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.itemrequest import check_items
from chivespan.keyedstore import KeyedRecord
from chivespan.ledgerstore import AlreadyStaged, Staged


def waiting_tokens(
    ledger: Ledger,
    route: str,
    customer: str = "",
    *,
    host: str = "",
    path_prefix: str = "",
) -> int:
    """Return the total tokens of a route's items that have no result yet.

    Those of jobs count that were accepted by a route of this name, or at this place
    under another name.

    :param customer: whose items count; empty for those of jobs without a customer.
    :param path_prefix: empty to count by the name only.
    """
    return sum(
        item.tokens
        for job in ledger.open_jobs()
        if job.head.customer == customer
        and (
            job.head.route == route
            or (path_prefix == job.head.path_prefix != "" and host == job.head.host)
        )
        for item in job.waiting_items()
    )


@dataclass(frozen=True, slots=True)
class AcceptJob:
    """Accepts a job if its tokens fit the limit; idempotent.

    :param tokens_limit: maximum tokens of the customer that may wait on the route; 0
        for no limit. Jobs without a customer count together.
    :param config_version: version of the configuration that has the route.
    :param customer: name of the customer that submits it; empty for none.
    :param path_prefix: that of the route.
    """

    job_id: str
    route: str
    host: str
    items: tuple[BatchItem, ...]
    submitted: datetime
    tokens_limit: int
    max_record_bytes: int
    config_version: int = 0
    customer: str = ""
    path_prefix: str = ""

    def records(self, ledger: Ledger, staged: Staged) -> Sequence[KeyedRecord]:
        """Return the job's records; empty if it was accepted before.

        :raises WaitsForStaged: if the same job is already staged.
        :raises ChivespanError: ``owner_limit`` if its tokens exceed the limit,
            ``bad_request`` if an item can never be sent.
        """
        if self.job_id in ledger.jobs:
            return ()
        check_items(self.items, self.host)
        if self.job_id in staged.jobs:
            raise AlreadyStaged
        tokens = sum(item.tokens for item in self.items)
        claimant = (self.customer, self.route)
        claimed = staged.tokens.get(claimant, 0)
        if self.tokens_limit:
            waiting = claimed + waiting_tokens(
                ledger,
                self.route,
                self.customer,
                host=self.host,
                path_prefix=self.path_prefix,
            )
            if waiting + tokens > self.tokens_limit:
                reason = f"{waiting} of {self.tokens_limit} tokens are already waiting"
                raise ChivespanError(ErrorKind.OWNER_LIMIT, reason)
        staged.jobs.add(self.job_id)
        staged.tokens[claimant] = claimed + tokens
        return job_records(
            self.job_id,
            self.route,
            self.host,
            list(self.items),
            self.submitted,
            self.config_version,
            self.max_record_bytes,
            self.customer,
            self.path_prefix,
        )


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Writes the final result of an item at the next position of its job."""

    job_id: str
    item_id: str
    done: bool
    text: str
    max_record_bytes: int
    written: datetime

    def records(self, ledger: Ledger, staged: Staged) -> Sequence[KeyedRecord]:
        """Return the result's records; empty if the item needs no result.

        :raises WaitsForStaged: if a result of the same item is already staged.
        """
        job = ledger.jobs.get(self.job_id)
        claimed = staged.results.setdefault(self.job_id, set())
        if job is None or job.ended or self.item_id not in job.items:
            return ()
        if self.item_id in job.finished_ids:
            return ()
        if self.item_id in claimed:
            raise AlreadyStaged
        position = len(job.results) + len(claimed)
        claimed.add(self.item_id)
        result = BatchResult(
            item_id=self.item_id,
            done=self.done,
            text=self.text,
            written_ms=to_milliseconds(self.written),
        )
        return result_records(self.job_id, position, result, self.max_record_bytes)


@dataclass(frozen=True, slots=True)
class EndJob:
    """Ends a job; its items without a result never get one."""

    job_id: str
    ended: datetime

    def records(self, ledger: Ledger, staged: Staged) -> Sequence[KeyedRecord]:
        """Return the end record; empty if the job has already ended.

        :raises ChivespanError: ``not_found`` if there is no such job.
        """
        job = ledger.jobs.get(self.job_id)
        if job is None:
            raise ChivespanError(ErrorKind.NOT_FOUND, f"no job {self.job_id}")
        if job.ended:
            return ()
        end = BatchEnd(ended_ms=to_milliseconds(self.ended))
        return (KeyedRecord(end_key(self.job_id), encode(end)),)


@dataclass(frozen=True, slots=True)
class DeleteJob:
    """Deletes all records of a job whose retention time is over."""

    job: LedgerJob

    def records(self, ledger: Ledger, staged: Staged) -> Sequence[KeyedRecord]:
        """Return a tombstone, a record without value, for each of the job's keys."""
        job = ledger.jobs.get(self.job.job_id)
        if job is None or job.is_open:
            return ()
        return [KeyedRecord(key, b"") for key in job.keys()]  # noqa: SIM118
