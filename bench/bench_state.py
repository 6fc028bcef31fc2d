"""``make bench-state``: what keeping state through the log costs, as JSON lines."""

import json
from collections.abc import Callable, Iterator

import fire

from bench.statecluster import in_force, takeover, throughput
from bench.statefolds import fold_speed, open_items_memory

WORKERS = (1, 2, 4)
WIDE_CENTRE = 13


def _all() -> Iterator[dict[str, object]]:
    yield from fold_speed()
    yield from open_items_memory()
    for workers in WORKERS:
        yield throughput(workers)
    yield in_force(kill_readers=False)
    yield in_force(kill_readers=True)
    yield takeover(alone=False)
    yield takeover(alone=True)


def main(only: str = "") -> None:
    """Print all measures, or only those of one function.

    :param only: ``folds``, ``memory``, ``throughput``, ``spread``, ``wide_spread`` or
        ``takeover``.
    """
    chosen: dict[str, Callable[[], Iterator[dict[str, object]]]] = {
        "": _all,
        "folds": fold_speed,
        "memory": open_items_memory,
        "throughput": lambda: map(throughput, WORKERS),
        "spread": lambda: map(in_force, (False, True)),
        "wide_spread": lambda: iter([in_force(False, WIDE_CENTRE)]),
        "takeover": lambda: map(takeover, (False, True)),
    }
    for result in chosen[only]():
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
