"""Decoding of the customers in the operator's configuration document."""

import re
from collections.abc import Iterable

import msgspec

from chivespan.customers.customer import Customer
from chivespan.customers.keys import CustomerKeys, KeyHolder
from chivespan.decoding import checked

# Exact in any JSON library, as in the rest of the document.
MAX_NUMBER = 2**53
# Times until there is room again are computed from the rate, and have to be finite.
MIN_RATE_PER_S = 1e-6
# The name becomes a header, which can't hold them.
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f-\x9f]")


class Tenant(msgspec.Struct):
    """A customer's entry in the document."""

    name: str
    apiKeys: list[str] = []  # noqa: N815
    priority: int | None = None
    ratePerS: float = 0  # noqa: N815
    burst: float = 0


def decode_customers(tenants: Iterable[Tenant]) -> CustomerKeys:
    """Return the customers of all entries, by their keys.

    Messages name the entry by its position: neither a key nor a name of any length
    gets into the log.

    :raises ValueError: when an entry is invalid, or two have a name or a key in common.
    """
    holders: dict[str, KeyHolder] = {}
    holder_of: dict[bytes, str] = {}
    for position, tenant in enumerate(tenants):
        name = _name(tenant, position)
        if name in holders:
            raise ValueError(f"tenants[{position}] has the name of another")
        keys = tuple(_key(key, position) for key in tenant.apiKeys)
        for key in keys:
            if holder_of.setdefault(key, name) != name:
                raise ValueError(f"tenants[{position}] has a key of another")
        holders[name] = KeyHolder(_customer(name, tenant), keys)
    return CustomerKeys(holders.values())


def _customer(name: str, tenant: Tenant) -> Customer:
    if tenant.priority is not None:
        checked("priority", tenant.priority, -MAX_NUMBER, MAX_NUMBER)
    checked("ratePerS", tenant.ratePerS, 0, MAX_NUMBER)
    if 0 < tenant.ratePerS < MIN_RATE_PER_S:
        raise ValueError(f"ratePerS is below {MIN_RATE_PER_S}, but not 0")
    checked("burst", tenant.burst, 0, MAX_NUMBER)
    return Customer(name, tenant.priority, tenant.ratePerS, tenant.burst)


def _name(tenant: Tenant, position: int) -> str:
    """Return the name without the spaces around it, which no header would keep."""
    if _CONTROL_CHARACTERS.search(tenant.name):
        raise ValueError(f"tenants[{position}] has a name with control characters")
    name = tenant.name.strip(" ")
    if not name:
        raise ValueError(f"tenants[{position}] has no name")
    return name


def _key(key: str, position: int) -> bytes:
    """Return the key without the spaces around it, as callers' keys are read."""
    value = key.encode().strip(b" \t")
    if not value:
        raise ValueError(f"tenants[{position}] has an empty key")
    return value
