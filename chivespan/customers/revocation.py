"""Decides whether keys may be accepted by a configuration that may be out of date."""

from dataclasses import dataclass
from datetime import timedelta

from chivespan.errors import ChivespanError, ErrorKind


@dataclass(frozen=True, slots=True)
class RevocationPolicy:
    """What a node does that can't confirm its configuration.

    :param is_strict: whether it refuses requests that need a key. Otherwise it goes on
        with what it knows, because being served matters more than a late revocation.
    :param longest_age: time after the last confirmation from which it refuses them.
    """

    is_strict: bool = False
    longest_age: timedelta = timedelta(seconds=5)

    def check(self, age: timedelta) -> None:
        """Check that a request that needs a key may be served.

        :param age: time since the configuration was last confirmed to be the newest.
        :raises ChivespanError: ``not_ready`` when a key may have been removed unseen.

        >>> RevocationPolicy().check(timedelta(days=1))
        >>> RevocationPolicy(is_strict=True).check(timedelta(days=1))
        Traceback (most recent call last):
            ...
        chivespan.errors.ChivespanError: ...
        """
        if self.is_strict and age >= self.longest_age:
            reason = (
                "no source has confirmed the configuration lately, keys may be void"
            )
            raise ChivespanError(ErrorKind.NOT_READY, reason)
