"""Who is asking: owners and operators by key, of which only hashes are known."""

import hashlib
from collections.abc import Iterable
from typing import TypeVar

from chivespan.configuration import Configuration
from chivespan.documents import Operator, Owner
from chivespan.errors import ChivespanError, ErrorKind

BEARER = "Bearer "

Keyed = TypeVar("Keyed", Owner, Operator)


def key_hash(key: str) -> str:
    """Return the hex digest under which a key stands in the rules.

    >>> key_hash("demo")[:8]
    '2a97516c'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str | None) -> str:
    """Return the key of an ``Authorization`` header.

    :raises ChivespanError: ``unauthenticated`` when there is none.
    """
    if not authorization or not authorization.startswith(BEARER):
        reason = "send 'Authorization: Bearer KEY'"
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, reason)
    return authorization[len(BEARER) :].strip()


class Authenticator:
    """Finds owners and operators by key hash; rebuilt when configuration changes."""

    def __init__(self) -> None:
        self._offset = -1
        self._owners: dict[str, Owner] = {}
        self._operators: dict[str, Operator] = {}

    def owner(self, configuration: Configuration, authorization: str | None) -> Owner:
        """Return the owner whose key was sent.

        :raises ChivespanError: ``unauthenticated``, or ``forbidden`` for an operator.
        """
        self._follow(configuration)
        digest = key_hash(bearer_key(authorization))
        owner = self._owners.get(digest)
        if owner is not None:
            return owner
        if digest in self._operators:
            reason = "an operator's key is not an owner's"
            raise ChivespanError(ErrorKind.FORBIDDEN, reason)
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, "unknown key")

    def operator(
        self, configuration: Configuration, authorization: str | None
    ) -> Operator:
        """Return the operator whose key was sent.

        :raises ChivespanError: ``unauthenticated``, or ``forbidden`` for an owner.
        """
        self._follow(configuration)
        digest = key_hash(bearer_key(authorization))
        operator = self._operators.get(digest)
        if operator is not None:
            return operator
        if digest in self._owners:
            raise ChivespanError(ErrorKind.FORBIDDEN, "only operators may do this")
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, "unknown key")

    def _follow(self, configuration: Configuration) -> None:
        if configuration.offset == self._offset:
            return
        self._owners = _by_hash(configuration.owners.values())
        self._operators = _by_hash(configuration.operators.values())
        self._offset = configuration.offset


def _by_hash(holders: Iterable[Keyed]) -> dict[str, Keyed]:
    return {digest: holder for holder in holders for digest in holder.key_sha256}
