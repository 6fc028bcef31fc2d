"""Decides which customer a request comes from, by the key that it bears."""

from collections.abc import Iterable

from chivespan.customers.customer import Customer
from chivespan.customers.keys import CustomerKeys
from chivespan.errors import ChivespanError, ErrorKind


def single_key(presented: Iterable[bytes]) -> bytes | None:
    """Return the key among a request's key headers; None if there is none.

    :raises ChivespanError: ``bad_request`` for different keys.

    >>> single_key([b"k", b"k", b""]), single_key([b""])
    (b'k', None)
    """
    keys = set(presented) - {b""}
    if len(keys) > 1:
        reason = f"the request bears {len(keys)} different keys"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    return keys.pop() if keys else None


def identify(
    key: bytes | None, keys: CustomerKeys, *, is_public: bool, is_current: bool
) -> Customer | None:
    """Return the customer that holds a request's key.

    :param is_public: whether the request needs no key.
    :param is_current: whether the keys are known to be those of the newest version.
    :returns: None if the request needs no key and bears no known one.
    :raises ChivespanError: ``unauthenticated`` for a missing or unknown key,
        ``not_ready`` for a key that a newer version may have added.
    """
    customer = None if key is None else keys.find(key)
    if customer is not None or is_public:
        return customer
    if key is None:
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, "the key is missing")
    if not is_current:
        reason = "the key is unknown, and the configuration may be out of date"
        raise ChivespanError(ErrorKind.NOT_READY, reason)
    raise ChivespanError(ErrorKind.UNAUTHENTICATED, "the key is unknown")
