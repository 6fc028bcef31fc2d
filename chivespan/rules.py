"""Lookup of the rules and services that apply to a request."""

from chivespan.configuration import Configuration
from chivespan.documents import Rule, Service, ServiceKind
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import WorkClass


def rule_for(
    configuration: Configuration, owner: str, service: str, work_class: WorkClass
) -> Rule:
    """Return the rule that allows an owner to use a service for a class of work.

    :raises ChivespanError: ``no_rule`` if no rule allows it.
    """
    for rule in configuration.rules.values():
        if (
            rule.owner == owner
            and rule.service == service
            and rule.work_class.value == work_class.value
        ):
            return rule
    reason = (
        f"no rule allows owner {owner} to send {work_class.value} work to {service}"
    )
    raise ChivespanError(ErrorKind.NO_RULE, reason)


def service_for_model(
    configuration: Configuration, model: str, service_name: str = ""
) -> Service:
    """Return the service that serves a model.

    :param service_name: the caller's choice if several services serve the model.
    :raises ChivespanError: ``unknown_model``, or ``bad_request`` if it is ambiguous.
    """
    matching = [
        service
        for service in configuration.services.values()
        if service.kind is ServiceKind.model
        and model in service.models
        and service_name in ("", service.name)
    ]
    if not matching:
        raise ChivespanError(ErrorKind.UNKNOWN_MODEL, f"no service serves {model!r}")
    if len(matching) > 1:
        names = ", ".join(sorted(service.name for service in matching))
        reason = f"several services serve {model!r}; set 'service' to one of: {names}"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    return matching[0]


def plain_service(configuration: Configuration, name: str) -> Service:
    """Return a plain service by name.

    :raises ChivespanError: ``not_found`` if there is none.
    """
    service = configuration.services.get(name)
    if service is None or service.kind is not ServiceKind.plain:
        raise ChivespanError(ErrorKind.NOT_FOUND, f"no plain service {name!r}")
    return service


def may_repeat(service: Service, method: str, path: str) -> bool:
    """Return whether a call of a plain service is idempotent.

    Calls that the service doesn't list are not. A listed path may end in ``*``, which
    matches any suffix.
    """
    for call in service.calls:
        if call.method.upper() == method and _matches(call.path, path):
            return call.idempotent
    return False


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern
