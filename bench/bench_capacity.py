"""``make bench-capacity``: control plane cost of one node and how it scales.

Each series varies one quantity over at least four points and fits a line. ``centre``
measures one node in a data centre of the target size. Prints JSON lines.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, replace
from itertools import count
from typing import Any

import anyio
import fire
import numpy as np

from bench.capacityrig import Load, Measurement, measure, rss_mb, usage_of

PARALLEL_MEASUREMENTS = 3
PROGRAMS = ("dispatch_main", "entry_main", "batch_main")
CENTRE = Load(
    peers=29,
    remote=1,
    clients=12,
    targets=370,
    far_targets=4430,
    owners=1600,
    listed=270,
    slices=1,
    changes_per_s=0.185,
    grants_per_s=24,
    settle_s=10,
    seconds=20,
)

Quantity = Callable[[Measurement], float]


@dataclass(frozen=True)
class Series:
    """Loads that differ in one quantity.

    :param quantity: independent variable of the fit.
    :param scale: value of that quantity for one node at the target size.
    """

    name: str
    unit: str
    loads: Sequence[Load]
    quantity: Quantity
    scale: float


SERIES = (
    Series(
        "peers",
        "peer of the data centre",
        [Load(peers=n) for n in (0, 6, 12, 20, 29)],
        lambda point: point.load.peers,
        29,
    ),
    Series(
        "targets_owned",
        "target of an owned slice",
        [Load(targets=n) for n in (0, 12, 24, 48, 96)],
        lambda point: point.own_targets,
        12.3,
    ),
    Series(
        "targets_centre",
        "target of the data centre, none of them in an own slice",
        [Load(peers=29, targets=n, slices=0) for n in (16, 90, 180, 370)],
        lambda point: point.load.targets,
        370,
    ),
    Series(
        "owners",
        "owner, with two rules",
        [Load(targets=16, owners=n) for n in (1, 400, 800, 1600)],
        lambda point: point.load.owners,
        1600,
    ),
    Series(
        "documents",
        "configuration document (a far target)",
        [Load(far_targets=n) for n in (0, 1500, 3000, 4500, 9000)],
        lambda point: point.load.far_targets,
        9600,
    ),
    Series(
        "changes",
        "configuration change a second, read and pushed to 29 peers",
        [
            Load(peers=29, owners=400, changes_per_s=n, reader=True)
            for n in (0, 2, 5, 10, 20)
        ],
        lambda point: point.changes_s,
        0.185,
    ),
    Series(
        "grants",
        "grant a second, with its release",
        [Load(targets=16, clients=8, grants_per_s=n) for n in (0, 20, 50, 100, 200)],
        lambda point: point.grants_s,
        24,
    ),
    Series(
        "clients",
        "linked program that asks for grants",
        [Load(targets=16, clients=n) for n in (0, 8, 16, 32, 60)],
        lambda point: point.load.clients,
        12,
    ),
    Series(
        "listed",
        "VM on the list",
        [Load(listed=n, seconds=12) for n in (0, 100, 200, 390)],
        lambda point: point.load.listed,
        390,
    ),
)

COSTS: dict[str, Quantity] = {
    "cpu_us_s": lambda point: point.cpu_percent * 1e4,
    "wire_bytes_s": lambda point: point.wire_bytes_s,
    "rss_kb": lambda point: point.rss_mb * 1024,
}


def point(number: int, **changes: Any) -> None:
    """Measure one load and print the result."""
    measured = anyio.run(
        measure, number, Load(**changes), backend_options={"use_uvloop": True}
    )
    print(json.dumps(asdict(measured)))


def series(*names: str) -> None:
    """Measure the named series, or all, and print points and fits."""
    wanted = [each for each in SERIES if not names or each.name in names]
    for each in wanted:
        points = list(_measure_all(each.loads))
        for measured in points:
            _print(kind="point", series=each.name, **asdict(measured))
        for cost, value in COSTS.items():
            line = _fit(each, points, value)
            _print(kind="fit", series=each.name, unit=each.unit, cost=cost, **line)


def centre(**changes: Any) -> None:
    """Measure one node in a data centre of the target size."""
    whole = replace(CENTRE, **changes)
    without = replace(whole, grants_per_s=0)
    variants = {
        "whole": whole,
        "without_grants": without,
        "no_slice": replace(without, slices=0),
        "with_own_programs": replace(without, followers=2),
        "reader": replace(without, reader=True),
    }
    measured = _measure_all(list(variants.values()))
    for name, result in zip(variants, measured, strict=True):
        _print(kind="centre", variant=name, **asdict(result))


def idle(seconds: float = 10) -> None:
    """Measure each program idle and without peers."""
    for program in PROGRAMS:
        _print(kind="idle", program=program, **_idle(program, seconds))


def measure_everything() -> None:
    """Run all measurements."""
    idle()
    series()
    centre()


def _idle(program: str, seconds: float) -> dict[str, float]:
    flags = {
        "vm": "127.99.0.1",
        "data_centre": "centre-0",
        "region": "region-0",
        "log_url": "http://127.99.0.2:9",
        "vm_list_url": "http://127.99.0.2:9",
        "peer_key": "key",
        "log_level": "error",
    }
    command = [sys.executable, "-m", f"chivespan.{program}"]
    command += [f"--{name}={value}" for name, value in flags.items()]
    process = subprocess.Popen(command)
    try:
        time.sleep(4)
        before = usage_of(process.pid)
        time.sleep(seconds)
        after = usage_of(process.pid)
        elapsed = after.at - before.at
        return {
            "rss_mb": rss_mb(process.pid),
            "cpu_percent": 100 * (after.cpu_s - before.cpu_s) / elapsed,
        }
    finally:
        process.kill()
        process.wait()


_NUMBERS = count(1)


def _measure_all(loads: Sequence[Load]) -> Iterator[Measurement]:
    """Measure each load in a separate process, a few at a time."""
    with ThreadPoolExecutor(PARALLEL_MEASUREMENTS) as pool:
        yield from pool.map(_measure_in_subprocess, loads)


def _measure_in_subprocess(load: Load) -> Measurement:
    number = next(_NUMBERS) % 100
    command = [sys.executable, "-m", "bench.bench_capacity", "point", str(number)]
    command += [f"--{name}={value}" for name, value in asdict(load).items()]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    fields = json.loads(done.stdout)
    return Measurement(**{**fields, "load": Load(**fields["load"])})


def _fit(
    each: Series, points: Sequence[Measurement], value: Quantity
) -> dict[str, float | int]:
    """Fit a line; the residual is the root mean square error."""
    x = np.array([each.quantity(measured) for measured in points])
    y = np.array([value(measured) for measured in points])
    slope, intercept = np.polyfit(x, y, 1)
    residual = float(np.sqrt(np.mean((y - slope * x - intercept) ** 2)))
    return {
        "slope": round(float(slope), 3),
        "intercept": round(float(intercept), 1),
        "residual": round(residual, 1),
        "points": len(points),
        "at_target_size": round(float(slope * each.scale), 1),
    }


def _print(**fields: Any) -> None:
    print(json.dumps(fields), flush=True)


if __name__ == "__main__":
    fire.Fire(
        {
            "point": point,
            "series": series,
            "centre": centre,
            "idle": idle,
            "all": measure_everything,
        }
    )
