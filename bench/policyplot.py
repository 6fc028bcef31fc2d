"""Plots of the policy benchmark: latency against throughput, slots over time."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from bench.policyrun import Result


def plot(results: Sequence[Result], path: Path) -> None:
    """Write one image with the plots of all deployments."""
    deployments = sorted({result.deployment for result in results})
    figure, axes = pyplot.subplots(
        2, len(deployments), figsize=(8 * len(deployments), 9), squeeze=False
    )
    for column, deployment in enumerate(deployments):
        deployment_results = [
            result for result in results if result.deployment == deployment
        ]
        _plot_tradeoff(axes[0][column], deployment_results, deployment)
        _plot_slots(axes[1][column], deployment_results[-1])
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_tradeoff(axis: Any, results: Sequence[Result], deployment: str) -> None:
    for result in results:
        x = result.batch_tokens_per_s
        y = result.first_token_ms.p99
        axis.scatter(x, y)
        axis.annotate(result.policy, (x, y))
    axis.set_title(deployment)
    axis.set_xlabel("batch tokens a second")
    axis.set_ylabel("online p99 first token, ms")


def _plot_slots(axis: Any, result: Result) -> None:
    samples = result.samples
    times = [sample.at for sample in samples]
    for key in ("online", "batch", "queued"):
        axis.plot(times, [getattr(sample, key) for sample in samples], label=key)
    axis.set_title(f"slots under {result.policy}")
    axis.set_xlabel("seconds")
    axis.legend()
