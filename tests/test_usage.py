"""Usage is merged without loss from processes that start, stop and repeat reports."""

from datetime import timedelta
from random import Random

import anyio
import pytest

from chivespan import usage, usagereplication
from chivespan.dispatchquery import query_usage
from chivespan.messages import Outcome, UsageCount, UsageReport, WorkClass
from tests.controlnodes import (
    TIMEOUT_S,
    ControlNode,
    Platform,
    control_nodes,
    grant_requester,
    inventory,
    request,
)
from tests.test_peerlink import end_of

VMS = ("127.46.0.1", "127.46.0.2", "127.46.0.3")


def count(owner: str, requests: int) -> UsageCount:
    return UsageCount(
        owner=owner,
        service="lm",
        work_class=WorkClass.online,
        requests=requests,
        tokens=10 * requests,
    )


def report(incarnation: str, *counts: UsageCount) -> UsageReport:
    return UsageReport(vm="10.0.0.1", incarnation=incarnation, counts=list(counts))


def requests_of(ledger: usage.UsageLedger) -> dict[str, int]:
    return {total.owner: total.requests for total in ledger.totals()}


@pytest.mark.parametrize("seed", range(20))
def test_merging_is_commutative_and_idempotent(seed: int) -> None:
    random = Random(seed)
    reports = [
        report(incarnation, count(owner, number))
        for incarnation in ("a", "b", "c")
        for owner in ("x", "y")
        for number in range(1, 5)
    ]
    delivered = [*reports, *random.choices(reports, k=10)]
    random.shuffle(delivered)
    ledger = usage.UsageLedger()
    for each in delivered:
        ledger.merge(each)
    assert requests_of(ledger) == {"x": 12, "y": 12}
    new_process = usage.UsageLedger()
    for each in ledger.reports("10.0.0.2"):
        new_process.merge(each)
    assert requests_of(new_process) == requests_of(ledger)


def test_rows_are_bounded_and_evictions_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(usage, "MAX_ROWS", 4)
    ledger = usage.UsageLedger()
    for incarnation in ("old", "middle", "new"):
        ledger.merge(report(incarnation, count("x", 1), count("y", 1)))
    assert requests_of(ledger) == {"x": 2, "y": 2}
    assert ledger.evicted_rows == 2


@pytest.mark.anyio
async def test_usage_survives_the_dispatcher_that_counted_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(usagereplication, "USAGE_INTERVAL", timedelta(milliseconds=50))
    monkeypatch.setattr(usagereplication, "USAGE_BYTE_TIME", timedelta(0))
    platform = Platform()
    platform.publish(*inventory(2))
    async with (
        control_nodes(platform, VMS) as nodes,
        grant_requester(platform, VMS[0]) as entry,
    ):
        for number in range(5):
            slot = await entry.client.acquire(request(number))
            slot.release(Outcome.done, tokens=7)
        counting_node = next(
            node for node in nodes if node.dispatcher.status("").targets
        )
        others = [node for node in nodes if node is not counting_node]
        await wait_for_usage(others, tokens=35)
        counting_node.stop()
        await counting_node.ended.wait()
        await wait_for_usage(others, tokens=35)


async def wait_for_usage(nodes: list[ControlNode], tokens: int) -> None:
    end = end_of(VMS[0])
    for node in nodes:
        address = f"{node.vm}:{node.settings.dispatch_port}"
        with anyio.fail_after(TIMEOUT_S):
            while (
                sum(each.tokens for each in await query_usage(end, address)) != tokens
            ):
                await anyio.sleep(0.02)
        [total] = await query_usage(end, address)
        assert (total.owner, total.requests) == ("owner", 5)
