"""Tells which customer a caller's request comes from, once it has been routed."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from chivespan.callerrequest import CallerRequest
from chivespan.customers.identity import identify, single_key
from chivespan.customers.keys import key_fingerprint
from chivespan.customers.revocation import RevocationPolicy
from chivespan.errors import ChivespanError
from chivespan.logs import logger
from chivespan.platform import wire
from chivespan.routes import RoutingTable

# Age up to which a configuration counts as the newest. Reads of the store confirm it
# every 1.5 s; twice that allows for a slow one.
CURRENT_CONFIG_AGE = timedelta(seconds=3)
LENIENT = RevocationPolicy()

_log = logger("callers")


class CallerIdentity:
    """Identifies the callers of one node.

    :param config_age: returns the time since the configuration was last confirmed to be
        the newest.
    """

    def __init__(
        self,
        policy: RevocationPolicy = LENIENT,
        config_age: Callable[[], timedelta] = timedelta,
    ) -> None:
        self._policy = policy
        self._config_age = config_age

    def identified(
        self,
        request: CallerRequest,
        table: RoutingTable,
        *,
        is_public: bool,
        is_batch: bool = False,
    ) -> CallerRequest:
        """Return a request with its customer, and without its key.

        Its headers then have the customer's name, so whatever is sent on or derived
        from them says who asks. Without customers the request is returned unchanged.

        :param is_public: whether the request needs no key.
        :param is_batch: whether it submits a job or is a call on one. It then needs the
            key that it bears, since jobs belong to customers.
        :raises ChivespanError: ``unauthenticated`` for a missing or unknown key,
            ``bad_request`` for different keys, ``not_ready`` if a configuration that
            may be out of date doesn't tell.
        """
        if table.customers is None:
            return request
        key = single_key(wire.presented_keys(request.headers))
        age = self._config_age()
        is_current = age <= CURRENT_CONFIG_AGE
        if not is_public or (is_batch and key is not None):
            self._policy.check(age)
            is_public = is_public and is_current
        try:
            customer = identify(
                key, table.customers, is_public=is_public, is_current=is_current
            )
        except ChivespanError:
            _log_refused(request, key, table.version)
            raise
        name = customer.name if customer else ""
        headers = wire.with_customer_name(request.headers, name)
        return replace(request, headers=headers, customer=customer)


def _log_refused(request: CallerRequest, key: bytes | None, version: int) -> None:
    """Log which key was refused, by a fingerprint that isn't the key."""
    _log.info(
        "key_refused",
        request=request.request_id,
        key_fingerprint="" if key is None else key_fingerprint(key),
        routing_version=version,
    )
