"""The customers of a soak test, and which of them sends a request or job."""

import re
from typing import Any

KEYS = {"customer-a": "key-a", "customer-b": "key-b"}
_NUMBER = re.compile(r"\d+")


def entries() -> list[dict[str, Any]]:
    """Return the entries of all customers for the configuration."""
    return [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]


def customer_of(request_id: str) -> str:
    """Return the customer whose request, job or item has an id, by its first number.

    >>> customer_of("r4"), customer_of("j5-2")
    ('customer-a', 'customer-b')
    """
    number = _NUMBER.search(request_id)
    assert number is not None
    return list(KEYS)[int(number[0]) % len(KEYS)]


def key_headers(request_id: str) -> dict[str, str]:
    """Return the header that holds the key of a request's customer."""
    return {"Api-Key": KEYS[customer_of(request_id)]}
