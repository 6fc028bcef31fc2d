"""Looking up the rule that covers a piece of work."""

from chivespan.configuration import Configuration
from chivespan.documents import Rule, Service, ServiceKind
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import WorkClass


def rule_for(
    configuration: Configuration, owner: str, service: str, work_class: WorkClass
) -> Rule:
    """Return the rule that lets an owner's work of a class use a service.

    :raises ChivespanError: ``no_rule`` when the rules don't allow it.
    """
    for rule in configuration.rules.values():
        if (
            rule.owner == owner
            and rule.service == service
            and rule.work_class.value == work_class.value
        ):
            return rule
    reason = f"no rule lets owner {owner} send {work_class.value} work to {service}"
    raise ChivespanError(ErrorKind.NO_RULE, reason)


def service_for_model(
    configuration: Configuration, model: str, service_name: str = ""
) -> Service:
    """Return the service that serves a model.

    :param service_name: the caller's choice where several services serve it.
    :raises ChivespanError: ``unknown_model`` or, when ambiguous, ``bad_request``.
    """
    found = [
        service
        for service in configuration.services.values()
        if service.kind is ServiceKind.model
        and model in service.models
        and service_name in ("", service.name)
    ]
    if not found:
        raise ChivespanError(ErrorKind.UNKNOWN_MODEL, f"no service serves {model!r}")
    if len(found) > 1:
        names = ", ".join(sorted(service.name for service in found))
        reason = f"several services serve {model!r}, name one in 'service': {names}"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    return found[0]


def plain_service(configuration: Configuration, name: str) -> Service:
    """Return a plain service by name.

    :raises ChivespanError: ``not_found`` when there is none.
    """
    service = configuration.services.get(name)
    if service is None or service.kind is not ServiceKind.plain:
        raise ChivespanError(ErrorKind.NOT_FOUND, f"no plain service {name!r}")
    return service


def may_repeat(service: Service, method: str, path: str) -> bool:
    """Return whether a call of a plain service may be repeated; not, if unlisted.

    A listed path may end in ``*``, which stands for any rest.
    """
    for call in service.calls:
        if call.method.upper() == method and _matches(call.path, path):
            return call.idempotent
    return False


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern
