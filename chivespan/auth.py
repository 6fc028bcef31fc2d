"""Authentication of owners and operators by key; only key hashes are stored."""

import hashlib
from collections.abc import Iterable
from typing import TypeVar

from chivespan.configuration import Configuration
from chivespan.documents import Operator, Owner
from chivespan.errors import ChivespanError, ErrorKind

BEARER = "Bearer "

KeyHolder = TypeVar("KeyHolder", Owner, Operator)


def key_hash(key: str) -> str:
    """Return the SHA-256 hex digest by which the rules identify a key.

    >>> key_hash("demo")[:8]
    '2a97516c'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str | None) -> str:
    """Return the bearer token of an ``Authorization`` header.

    :raises ChivespanError: ``unauthenticated`` if there is none.
    """
    if not authorization or not authorization.startswith(BEARER):
        reason = "send 'Authorization: Bearer KEY'"
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, reason)
    return authorization[len(BEARER) :].strip()


class Authenticator:
    """Looks up owners and operators by key hash.

    The lookup tables are rebuilt when the configuration changes.
    """

    def __init__(self) -> None:
        self._offset = -1
        self._owners: dict[str, Owner] = {}
        self._operators: dict[str, Operator] = {}

    def owner(self, configuration: Configuration, authorization: str | None) -> Owner:
        """Return the owner that the key of a request belongs to.

        :raises ChivespanError: ``unauthenticated`` for an unknown key, ``forbidden``
            for the key of an operator.
        """
        self._refresh(configuration)
        digest = key_hash(bearer_key(authorization))
        owner = self._owners.get(digest)
        if owner is not None:
            return owner
        if digest in self._operators:
            reason = "this requires an owner's key, not an operator's"
            raise ChivespanError(ErrorKind.FORBIDDEN, reason)
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, "unknown key")

    def operator(
        self, configuration: Configuration, authorization: str | None
    ) -> Operator:
        """Return the operator that the key of a request belongs to.

        :raises ChivespanError: ``unauthenticated`` for an unknown key, ``forbidden``
            for the key of an owner.
        """
        self._refresh(configuration)
        digest = key_hash(bearer_key(authorization))
        operator = self._operators.get(digest)
        if operator is not None:
            return operator
        if digest in self._owners:
            raise ChivespanError(ErrorKind.FORBIDDEN, "only operators may do this")
        raise ChivespanError(ErrorKind.UNAUTHENTICATED, "unknown key")

    def _refresh(self, configuration: Configuration) -> None:
        if configuration.offset == self._offset:
            return
        self._owners = _by_hash(configuration.owners.values())
        self._operators = _by_hash(configuration.operators.values())
        self._offset = configuration.offset


def _by_hash(holders: Iterable[KeyHolder]) -> dict[str, KeyHolder]:
    return {digest: holder for holder in holders for digest in holder.key_sha256}
