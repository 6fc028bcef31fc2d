"""Failures of the node itself, which say nothing of the targets."""

import errno

import anyio
import pytest

from chivespan.eventstream import StreamEvent
from chivespan.exchange import LOCAL_ERRORS
from chivespan.itemoutput import OutputBudget
from chivespan.nodemessages import ItemState
from tests.rawtargets import RawSite, raw_site, target
from tests.test_odditems import ANSWER, ATTEMPTS, assert_sound

pytestmark = pytest.mark.anyio


def refuse_connections(
    site: RawSite, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    """Let connections to the targets fail with an error of the operating system."""
    connect_tcp = anyio.connect_tcp

    async def connect(host: str, port: int) -> object:
        if any(each.address == f"{host}:{port}" for each in site.targets):
            raise OSError("All connection attempts failed") from OSError(error, "")
        return await connect_tcp(host, port)

    monkeypatch.setattr(anyio, "connect_tcp", connect)


# Guards against: a node without descriptors, memory or ports left takes all its targets
# for unreachable, also for the time after (review case 14, same cause).
@pytest.mark.parametrize("error", sorted(LOCAL_ERRORS), ids=errno.errorcode.get)
async def test_lack_of_local_resources_says_nothing_of_targets(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with raw_site(target(ANSWER), target(ANSWER)) as site:
        with monkeypatch.context() as patched:
            refuse_connections(site, patched, error)
            for _ in range(ATTEMPTS):
                assert (await site.ask()).status == 503
                ended = await site.run_item_once()
                assert ended.state is ItemState.not_run
        assert_sound(site)
        assert (await site.ask()).status == 200


# The errors of a target stay what they are.
@pytest.mark.parametrize("error", [errno.ECONNREFUSED, errno.EHOSTUNREACH])
async def test_target_that_cannot_be_reached_is_left_out(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with raw_site(target(ANSWER)) as site:
        refuse_connections(site, monkeypatch, error)
        assert (await site.ask()).status == 503
        assert not site.picker.candidates("svc")


# Guards against: a fault in this node's own code, which an item's output meets, counts
# as a failure of each target that ran the item.
async def test_unexpected_error_in_a_run_says_nothing_of_targets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(_events: bytes) -> list[StreamEvent]:
        raise ZeroDivisionError

    async with raw_site(target(ANSWER)) as site:
        with monkeypatch.context() as patched:
            patched.setattr("chivespan.batchexecutor.parse_events", fail)
            for _ in range(ATTEMPTS):
                ended = await site.run_item_once()
                assert (ended.state, ended.failed_attempts) == (ItemState.not_run, [])
        assert_sound(site)
        assert (await site.run_item()).state is ItemState.done


# Guards against: items whose output this node has no memory for count as broken off by
# their targets.
async def test_lack_of_memory_for_output_says_nothing_of_targets() -> None:
    async with raw_site(target(ANSWER)) as site:
        site.executor._budget = OutputBudget(1)
        for _ in range(ATTEMPTS):
            assert (await site.run_item()).state is ItemState.not_run
        assert_sound(site)
