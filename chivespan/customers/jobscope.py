"""Ids of batch jobs, so that customers may use the same id for jobs of their own."""

from hashlib import blake2b

# No caller's id may hold it, so no caller can form the id of a customer's job.
SEPARATOR = "#"
# Names that have the same digest would share their jobs; that takes about 2**64 names.
DIGEST_BYTES = 16


def scoped_job_id(customer_name: str, job_id: str) -> str:
    """Return the id under which a caller's job is stored.

    All nodes and releases must form the same id, so the digest has no secret key. Its
    length is the same for every name, as the keys of the store are limited.

    :param customer_name: empty for a job without a customer.
    :param job_id: the caller's id, a valid one without ``SEPARATOR``.

    >>> scoped_job_id("", "7c41e0")
    '7c41e0'
    >>> scoped_job_id("kaje80", "7c41e0")
    '7c41e0#861476c3ca181bc61aaf57ec143e3cf2'
    """
    if not customer_name:
        return job_id
    digest = blake2b(customer_name.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return f"{job_id}{SEPARATOR}{digest}"


def caller_job_id(job_id: str) -> str:
    """Return the caller's id of the job that is stored under an id.

    >>> caller_job_id(scoped_job_id("kaje80", "7c41e0")), caller_job_id("7c41e0")
    ('7c41e0', '7c41e0')
    """
    return job_id.partition(SEPARATOR)[0]
