"""Looks up customers by their keys, which are kept as keyed hashes only."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from chivespan.customers.customer import Customer

DIGEST_BYTES = 16
# Two of 100,000 keys have the same fingerprint once in 50,000 sets of keys.
FINGERPRINT_BYTES = 6
# Differs in each process, so that a digest tells nothing outside of it.
_SECRET = secrets.token_bytes(32)


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A customer and all of its keys."""

    customer: Customer
    keys: tuple[bytes, ...]


class CustomerKeys:
    """The customers of one version of the configuration, and their keys.

    :param holders: customers with distinct names and keys.
    """

    def __init__(self, holders: Iterable[KeyHolder]) -> None:
        self._by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        for holder in holders:
            self._by_name[holder.customer.name] = holder.customer
            for key in holder.keys:
                self._by_digest[_digest(key)] = holder.customer

    def find(self, key: bytes) -> Customer | None:
        """Return the customer that holds a key; None if nobody does."""
        return self._by_digest.get(_digest(key))

    def find_name(self, name: str) -> Customer | None:
        """Return the customer with a name; None if there is none."""
        return self._by_name.get(name)

    @property
    def customer_count(self) -> int:
        """The number of customers."""
        return len(self._by_name)

    @property
    def key_count(self) -> int:
        """The number of keys of all customers."""
        return len(self._by_digest)


def key_fingerprint(key: bytes) -> str:
    """Return what names a key in log lines, from which the key can't be found.

    It is the same at all nodes. ``b2sum -l 48`` prints it, as docs/OPERATIONS.md says.

    >>> key_fingerprint(b"example")
    'ae0d0182283d'
    """
    return blake2b(key, digest_size=FINGERPRINT_BYTES).hexdigest()


def _digest(key: bytes) -> bytes:
    return blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest()
