"""Serves many engine and plain service stand-ins in one process."""

from collections.abc import Iterator, Sequence

import fire

from standins.engine import EngineStandIn
from standins.enginebatch import EngineOptions
from standins.plainservice import PlainStandIn
from standins.serving import StandIn, parse_options, serve_until_stopped


def _stand_ins(
    engines: Sequence[str], plains: Sequence[str], options: EngineOptions
) -> Iterator[tuple[str, StandIn]]:
    for address in engines:
        yield address, EngineStandIn(options)
    for address in plains:
        yield address, PlainStandIn()


def _addresses(flag: str | Sequence[str]) -> list[str]:
    """Return the addresses of a flag, which fire may have split at commas."""
    parts = flag.split(",") if isinstance(flag, str) else flag
    return [str(part) for part in parts if part]


def main(
    engines: str | Sequence[str] = "",
    plains: str | Sequence[str] = "",
    **flags: object,
) -> None:
    """Serve engines and plain services until the process is stopped.

    :param engines: comma-separated addresses of the engines.
    :param plains: comma-separated addresses of the plain services.
    :param flags: options of every engine.
    """
    options = parse_options(EngineOptions, flags)
    stand_ins = _stand_ins(_addresses(engines), _addresses(plains), options)
    serve_until_stopped(list(stand_ins))


if __name__ == "__main__":
    fire.Fire(main)
