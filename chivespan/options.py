"""Loads settings from flags and environment variables, and validates them at startup.

Flags take precedence over environment variables, and these over defaults. The checks
registered below under the name of a setting define its valid values.
"""

import json
import sys
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import MISSING, Field, dataclass, fields
from typing import Any, TypeAlias, TypeVar, get_type_hints

import fire

from chivespan import settings
from chivespan.addresses import MAX_PORT, is_address, is_ip_address, is_ip_url
from chivespan.errors import ChivespanError, ErrorKind

T = TypeVar("T")
Function = TypeVar("Function", bound=Callable[..., Any])

ENVIRONMENT_PREFIX = "CHIVESPAN_"
LOG_LEVELS = ("debug", "info", "notice", "warning", "error")
MAX_INTERVAL_MS = 3_600_000
MAX_BODY_BYTES = 1 << 30
MAX_PARTITIONS = 1024
MAX_BATCH_ITEMS = 65_536
MAX_LOG_APPENDS_PER_S = 100_000
MAX_LOADS_PER_MIN = 60_000
MAX_LOG_KEEP_MINUTES = 10 * 365 * 24 * 60
_SECRETS = frozenset({"peer_key", "operator_key"})

Check: TypeAlias = Callable[[Any], str]
_CHECKS: dict[str, list[Check]] = defaultdict(list)


@dataclass(frozen=True, slots=True)
class _Fault:
    label: str
    problem: str

    def __str__(self) -> str:
        return f"{ErrorKind.INVALID_SETTING} {self.label}: {self.problem}"


@dataclass(frozen=True, slots=True)
class _Flags:
    named: dict[str, str]
    words: tuple[str, ...]


def load_settings(
    cls: type[T], arguments: Sequence[str], environment: Mapping[str, str]
) -> T:
    """Return the settings given by flags and environment variables.

    ``--help`` prints all settings and exits.

    :param cls: a data class of ``chivespan.settings``.
    :param arguments: the command line without the program's name.
    :raises ChivespanError: ``invalid_setting``, which lists every invalid setting.
    """
    if "--help" in arguments or "-h" in arguments:
        print(describe(cls))
        raise SystemExit(0)
    flags = _parse_flags(arguments)
    faults = [*_unknown_flags(cls, flags), *_unknown_variables(environment)]
    values: dict[str, Any] = {}
    for field in _fields(cls):
        text = flags.named.get(
            field.name, environment.get(environment_variable(field.name))
        )
        if text is None and field.default is MISSING:
            faults.append(
                _Fault(
                    setting_label(field.name), f"missing; {_describe_value(cls, field)}"
                )
            )
        elif text is not None:
            faults.extend(_read_value(cls, field, text, values))
    faults.extend(_cross_field_faults(cls, values))
    if faults:
        raise ChivespanError(ErrorKind.INVALID_SETTING, _format_faults(faults))
    return cls(**values)


def load_settings_or_exit(cls: type[T], environment: Mapping[str, str]) -> T:
    """Return the settings of this process, or print the faults and exit with code 2.

    :param cls: a data class of ``chivespan.settings``.
    """
    try:
        return load_settings(cls, sys.argv[1:], environment)
    except ChivespanError as error:
        print(error, file=sys.stderr)
        raise SystemExit(2) from None


def parse_as_text(*names: str) -> Callable[[Function], Function]:
    """Return a decorator that makes fire pass arguments of a command as strings.

    Without it, fire parses numbers and other literals.

    :param names: names of the arguments; all arguments if empty.
    """
    decorator: Callable[[Function], Function] = fire.decorators.SetParseFn(str, *names)
    return decorator


def environment_variable(name: str) -> str:
    """Return the name of the environment variable of a setting.

    >>> environment_variable("log_url")
    'CHIVESPAN_LOG_URL'
    """
    return ENVIRONMENT_PREFIX + name.upper()


def setting_label(name: str) -> str:
    """Return the flag and environment variable of a setting, for messages.

    >>> setting_label("vm")
    '--vm (CHIVESPAN_VM)'
    """
    return f"--{name} ({environment_variable(name)})"


def describe(cls: type[Any]) -> str:
    """Return a line for each setting of a class, with its names, type and default."""
    return "\n".join(
        f"{setting_label(field.name)}: {_describe_value(cls, field)}"
        for field in _fields(cls)
    )


def check(*names: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check of the settings with these names.

    A check returns a description of valid values, or an empty string for a valid value.
    """

    def register(function: Check) -> Check:
        for name in names:
            _CHECKS[name].append(function)
        return function

    return register


@check("vm")
def _check_ip_number(value: str) -> str:
    return "" if is_ip_address(value) else "give an IP address such as 10.0.0.1"


@check("log_url", "vm_list_url")
def _check_url(value: str) -> str:
    wanted = "give a URL with an IP address such as http://10.0.0.1:9000"
    return "" if is_ip_url(value) else wanted


@check("statsd_address", "entry")
def _check_address(value: str) -> str:
    wanted = "give an IP address and a port such as 10.0.0.1:8125, or leave it empty"
    return "" if not value or is_address(value) else wanted


@check("data_centre", "region", "peer_key", "operator", "operator_key")
def _check_present(value: str) -> str:
    return "" if value.strip() else "give a non-empty string"


@check("log_level")
def _check_level(value: str) -> str:
    return "" if value in LOG_LEVELS else f"give one of {', '.join(LOG_LEVELS)}"


def _check_bounds(lowest: int, highest: int) -> Check:
    def within(value: int) -> str:
        wanted = f"give a whole number from {lowest} to {highest}"
        return "" if lowest <= value <= highest else wanted

    return within


check("entry_port", "dispatch_port", "batch_port")(_check_bounds(1, MAX_PORT))
check("heartbeat_ms", "peer_silence_ms", "address_lifetime_ms")(
    _check_bounds(1, MAX_INTERVAL_MS)
)
check("weight_loads_per_min")(_check_bounds(1, MAX_LOADS_PER_MIN))
check("body_limit_bytes")(_check_bounds(1, MAX_BODY_BYTES))
check("partitions")(_check_bounds(1, MAX_PARTITIONS))
check("batch_items")(_check_bounds(1, MAX_BATCH_ITEMS))
check("log_appends_per_s")(_check_bounds(1, MAX_LOG_APPENDS_PER_S))
check("log_keep_minutes")(_check_bounds(1, MAX_LOG_KEEP_MINUTES))


def _fields(cls: type[Any]) -> tuple[Field[Any], ...]:
    return fields(cls)


def _type(cls: type[Any], field: Field[Any]) -> type[Any]:
    hint: type[Any] = get_type_hints(cls)[field.name]
    return hint


def _parse_flags(arguments: Sequence[str]) -> _Flags:
    collected: list[_Flags] = []

    @parse_as_text()
    def collect(*words: str, **named: str) -> None:
        collected.append(_Flags(named, words))

    fire.Fire(collect, command=list(arguments), name="chivespan")
    return collected[0]


def _unknown_flags(cls: type[Any], flags: _Flags) -> Iterator[_Fault]:
    known = {field.name for field in _fields(cls)}
    for name in flags.named:
        if name not in known:
            problem = f"unknown setting; known settings are {', '.join(sorted(known))}"
            yield _Fault(f"--{name}", problem)
    for word in flags.words:
        yield _Fault(repr(word), "not a setting; write --name=value")


def _unknown_variables(environment: Mapping[str, str]) -> Iterator[_Fault]:
    known = {
        environment_variable(field.name)
        for cls in (settings.NodeSettings, settings.OperatorSettings)
        for field in _fields(cls)
    }
    for name in environment:
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            yield _Fault(name, "no program has a setting of this name")


def _read_value(
    cls: type[Any], field: Field[Any], text: str, values: dict[str, Any]
) -> Iterator[_Fault]:
    shown = "" if field.name in _SECRETS else f"{json.dumps(text)} is invalid; "
    try:
        value = _convert(_type(cls, field), text)
    except ValueError as error:
        yield _Fault(setting_label(field.name), f"{shown}{error}")
        return
    problems = [
        problem for run_check in _CHECKS[field.name] if (problem := run_check(value))
    ]
    if not problems:
        values[field.name] = value
    for problem in problems:
        yield _Fault(setting_label(field.name), shown + problem)


def _convert(kind: type[Any], text: str) -> object:
    if kind is int:
        try:
            return int(text)
        except ValueError:
            raise ValueError("give a whole number") from None
    if kind is bool:
        if text.lower() not in ("true", "false"):
            raise ValueError("give true or false")
        return text.lower() == "true"
    return text


def _cross_field_faults(cls: type[Any], values: Mapping[str, Any]) -> Iterator[_Fault]:
    defaults = {field.name: field.default for field in _fields(cls)}
    found = {**defaults, **values}
    ports = [name for name in found if name.endswith("_port")]
    if len({found[name] for name in ports}) < len(ports):
        labels = ", ".join(setting_label(name) for name in ports)
        yield _Fault(labels, "two are the same; each program needs its own port")
    if "peer_silence_ms" in found and found["peer_silence_ms"] < (
        2 * found["heartbeat_ms"]
    ):
        problem = f"give at least twice --heartbeat_ms, {2 * found['heartbeat_ms']}"
        yield _Fault(setting_label("peer_silence_ms"), problem)


def _describe_value(cls: type[Any], field: Field[Any]) -> str:
    kind = "whole number" if _type(cls, field) is int else "string"
    if field.default is MISSING:
        hints = [hint for run_check in _CHECKS[field.name] if (hint := run_check(""))]
        return hints[0] if hints else f"give a {kind}"
    return f"{kind}, default {json.dumps(field.default)}"


def _format_faults(faults: Sequence[_Fault]) -> str:
    count = "one setting is" if len(faults) == 1 else f"{len(faults)} settings are"
    return "\n  ".join([f"{count} invalid", *map(str, faults)])
