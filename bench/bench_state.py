"""``make bench-state``: cost of state that is kept in the log; prints JSON lines."""

import json
from collections.abc import Callable, Iterator

import fire

from bench.statecluster import propagation, takeover, throughput
from bench.statefolds import fold_speed, open_items_memory

WORKER_COUNTS = (1, 2, 4)
WIDE_NODES_PER_CENTRE = 13


def _all() -> Iterator[dict[str, object]]:
    yield from fold_speed()
    yield from open_items_memory()
    for workers in WORKER_COUNTS:
        yield throughput(workers)
    yield propagation(kill_readers=False)
    yield propagation(kill_readers=True)
    yield takeover(batch_only=False)
    yield takeover(batch_only=True)


def main(only: str = "") -> None:
    """Run all measurements or a selected group.

    :param only: ``folds``, ``memory``, ``throughput``, ``spread``, ``wide_spread`` or
        ``takeover``; empty for all but ``wide_spread``.
    """
    chosen: dict[str, Callable[[], Iterator[dict[str, object]]]] = {
        "": _all,
        "folds": fold_speed,
        "memory": open_items_memory,
        "throughput": lambda: map(throughput, WORKER_COUNTS),
        "spread": lambda: map(propagation, (False, True)),
        "wide_spread": lambda: iter([propagation(False, WIDE_NODES_PER_CENTRE)]),
        "takeover": lambda: map(takeover, (False, True)),
    }
    for result in chosen[only]():
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
