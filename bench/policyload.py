"""Seeded load of the policy benchmark, with the same arrivals for every policy."""

from dataclasses import dataclass

import numpy as np
from numpy.random import Generator
from numpy.typing import NDArray

PREFIX_BYTES = 256
PROMPT_BYTES = 512


@dataclass(frozen=True)
class LoadOptions:
    """Parameters of a load; rates are per runner.

    :param batch_at_s: when batch is submitted, with more items than a run completes.
    """

    seconds: float = 60.0
    steady_per_s: float = 2.0
    burst_per_s: float = 6.0
    burst_s: float = 2.5
    burst_every_s: float = 10.0
    first_burst_s: float = 8.0
    online_tokens: tuple[int, int] = (24, 57)
    batch_tokens: tuple[int, int] = (64, 193)
    prefixes: int = 120
    batch_at_s: float = 3.0


@dataclass(frozen=True)
class OnlineArrival:
    """One online request, sent ``at`` seconds after the start (open loop)."""

    at: float
    data_centre: int
    owner: int
    prompt: str
    tokens: int
    in_burst: bool


@dataclass(frozen=True)
class BatchItem:
    """Prompt and output length of one batch item."""

    prompt: str
    tokens: int


def burst_starts(options: LoadOptions, rng: Generator) -> list[float]:
    """Return the start times of bursts, with jitter of up to one second."""
    count = int((options.seconds - options.first_burst_s) / options.burst_every_s) + 1
    starts = options.first_burst_s + options.burst_every_s * np.arange(count)
    jittered = starts + rng.uniform(-1.0, 1.0, count)
    return [float(at) for at in jittered if at + options.burst_s < options.seconds]


def online_arrivals(
    options: LoadOptions, runners: int, data_centres: int, seed: int
) -> list[OnlineArrival]:
    """Return the online requests in order of arrival."""
    rng = np.random.default_rng(seed)
    bursts = burst_starts(options, rng)
    steady = _poisson(rng, options.steady_per_s * runners, 0.0, options.seconds)
    extra = options.burst_per_s - options.steady_per_s
    times = [steady]
    for start in bursts:
        times.append(_poisson(rng, extra * runners, start, start + options.burst_s))
    return [
        _arrival(float(at), index, options, data_centres, rng, bursts)
        for index, at in enumerate(np.sort(np.concatenate(times)))
    ]


def batch_items(options: LoadOptions, count: int, seed: int) -> list[BatchItem]:
    """Return the batch items."""
    rng = np.random.default_rng(seed + 1)
    lengths = rng.integers(*options.batch_tokens, count)
    return [
        BatchItem(_prompt(f"batch {index % 40}", f"item {index}"), int(tokens))
        for index, tokens in enumerate(lengths)
    ]


def _poisson(
    rng: Generator, rate: float, start: float, end: float
) -> NDArray[np.float64]:
    count = rng.poisson(rate * (end - start))
    return rng.uniform(start, end, count)


def _arrival(
    at: float,
    index: int,
    options: LoadOptions,
    data_centres: int,
    rng: Generator,
    bursts: list[float],
) -> OnlineArrival:
    prefix = min(int(rng.zipf(1.3)), options.prefixes)
    return OnlineArrival(
        at=at,
        data_centre=int(rng.integers(data_centres)),
        owner=int(rng.integers(4)),
        prompt=_prompt(f"online {prefix}", f"request {index}"),
        tokens=int(rng.integers(*options.online_tokens)),
        in_burst=any(start <= at < start + options.burst_s for start in bursts),
    )


def _prompt(head: str, tail: str) -> str:
    return head.ljust(PREFIX_BYTES, ".") + tail.ljust(PROMPT_BYTES - PREFIX_BYTES, ".")
