"""Node processes end to end: behaviour seen by callers and targets."""

import json
from pathlib import Path

import anyio
import httpcore
import pytest

from standins.platformstore import StoreFaults
from standins.platformtarget import TargetFaults, TargetOptions, TargetStandIn
from tests.fleet import (
    BATCH_PREFIX,
    DIRECTORY_PORT,
    FRONT_PORT,
    GRACE_S,
    ONCE_PREFIX,
    STREAM_PREFIX,
    batch_route,
    config,
    fleet,
    route,
)

pytestmark = pytest.mark.anyio

# Nodes write their log lines with a delay.
LOG_DELAY_S = 0.5


def target(number: int, **options: float) -> TargetStandIn:
    return TargetStandIn(TargetOptions(target_id=f"i-{number}", **options))  # type: ignore[arg-type]


def fallback_target(number: int) -> TargetStandIn:
    """Return a target in another data centre, used only after those of the node's."""
    return TargetStandIn(TargetOptions(f"i-{number}", slots=1, data_centre="dc-2"))


def request(name: str, deadline_ms: int = 5000) -> dict[str, str]:
    return {
        "X-Chivespan-Request-Id": name,
        "X-Chivespan-Deadline-Ms": str(deadline_ms),
    }


def complete_stream(name: str, events: int = 5) -> bytes:
    parts = [f"id: {n}\ndata: {name}-{n}\n\n" for n in range(1, events + 1)]
    return "".join(parts).encode()


async def test_stream_is_forwarded_completely_with_the_server_seal(
    tmp_path: Path,
) -> None:
    one = target(1)
    async with fleet(tmp_path, 1, one) as (site, _):
        answer = await site.call(
            1, "POST", f"{STREAM_PREFIX}x?q=1", request("a"), b"body"
        )
        assert (answer.status, answer.body) == (200, complete_stream("a"))
        assert answer.headers["x-chivespan-server-seal"] == "seal-a"
        (arrival,) = one.arrivals
        assert arrival.body == b"body"
        assert 4500 < arrival.deadline_ms <= 5000
        missing = await site.call(1, "POST", "/none/x", request("b"))
        assert missing.status == 404


async def test_resumable_stream_resumes_on_another_target(tmp_path: Path) -> None:
    faulty = target(1)
    faulty.faults = TargetFaults(break_after=2)
    healthy = fallback_target(2)
    async with fleet(tmp_path, 1, faulty, healthy) as (site, _):
        answer = await site.call(1, "POST", f"{STREAM_PREFIX}x", request("a"))
        assert answer.body == complete_stream("a")
        assert healthy.arrivals[-1].last_event == 2


async def test_run_once_stream_is_not_retried(tmp_path: Path) -> None:
    faulty, healthy = target(1), fallback_target(2)
    faulty.faults = TargetFaults(status=500)
    async with fleet(tmp_path, 1, faulty, healthy) as (site, _):
        answer = await site.call(1, "POST", f"{ONCE_PREFIX}x", request("a"))
        assert answer.status == 500
        faulty.faults = TargetFaults(other_id=True)
        answer = await site.call(1, "POST", f"{ONCE_PREFIX}x", request("b"))
        assert answer.status == 502
        assert not healthy.ran


async def test_refusal_by_all_targets_has_a_retry_after_header(tmp_path: Path) -> None:
    one = target(1)
    one.faults = TargetFaults(full=True)
    async with fleet(tmp_path, 1, one) as (site, _):
        answer = await site.call(1, "POST", f"{ONCE_PREFIX}x", request("a"))
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not one.ran


async def test_caller_disconnect_cancels_the_run(tmp_path: Path) -> None:
    slow = target(1, gap_ms=300, events=50)
    async with fleet(tmp_path, 1, slow) as (site, _):
        with anyio.move_on_after(0.8):
            await site.call(1, "POST", f"{STREAM_PREFIX}x", request("a"))
        with anyio.fail_after(0.5):
            while slow.aborted != ["a"]:
                await anyio.sleep(0.01)


async def test_draining_target_gets_no_new_requests(tmp_path: Path) -> None:
    one, two = target(1), target(2)
    async with fleet(tmp_path, 1, one, two) as (site, _):
        site.list_target(0, "draining")
        await anyio.sleep(1.5)
        for number in range(10):
            await site.call(1, "POST", f"{ONCE_PREFIX}x", request(f"a{number}"))
        assert not one.ran
        assert len(two.ran) == 10


async def test_configuration_spreads_and_is_never_downgraded(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2, target(1)) as (site, _):
        site.publish(config(5, route("r-new", "/new/")))
        await anyio.sleep(0.5)
        site.publish(config(3))
        await anyio.sleep(2)
        for number in (1, 2):
            found = await site.call(number, "POST", "/new/x", request("a"))
            removed = await site.call(number, "POST", f"{STREAM_PREFIX}x", request("b"))
            assert (found.status, removed.status) == (200, 404)


# Guards against: after a restart a node serves a route that was withdrawn meanwhile,
# because the store gave it an old answer.
async def test_restarted_node_serves_no_withdrawn_route(tmp_path: Path) -> None:
    old = config(9)
    async with fleet(tmp_path, 2, target(1)) as (site, tasks):
        site.publish(old)
        await site.kill(2)
        site.publish(config(10, route("r-other", "/other/")))
        with anyio.fail_after(5):
            path = f"{STREAM_PREFIX}x"
            while (await site.call(1, "POST", path, request("a"))).status != 404:
                await anyio.sleep(0.05)
        site.publish(old)
        has_heard_peers = False
        # On a busy machine a link may take longer than a node waits for it.
        while not has_heard_peers:
            await site.start(2, tasks)
            answer = await site.call(2, "POST", path, request("b"))
            await anyio.sleep(LOG_DELAY_S)
            has_heard_peers = not site.events(2, "peers_not_heard")
            site.logs[2].clear()
            await site.kill(2)
        assert answer.status == 404


async def test_node_without_the_store_gets_updates_from_a_peer(
    tmp_path: Path,
) -> None:
    one, two = target(1), target(2)
    async with fleet(tmp_path, 2, one, two) as (site, _):
        site.store.faults = StoreFaults(down="busy", down_for=[site.vm(1)])
        await anyio.sleep(1)
        site.publish(config(5, route("r-new", "/new/", resumable=False)))
        site.list_target(0, "draining")
        await anyio.sleep(2)
        for number in range(5):
            answer = await site.call(1, "POST", "/new/x", request(f"a{number}"))
            assert answer.status == 200
        assert not one.ran


async def test_requests_are_served_while_the_store_is_down(tmp_path: Path) -> None:
    async with fleet(tmp_path, 1, target(1)) as (site, _):
        site.store.faults = StoreFaults(down="silent")
        await anyio.sleep(3)
        answer = await site.call(1, "POST", f"{ONCE_PREFIX}x", request("a"))
        assert answer.status == 200


async def test_directory_lists_live_nodes_and_removes_a_leaving_one(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 2, target(1)) as (site, tasks):
        await anyio.sleep(0.5)

        async def listed() -> list[str]:
            answer = await site.call(1, "GET", "/-/resolve?name=h", port=DIRECTORY_PORT)
            return list(json.loads(answer.body)["frontAddrs"])

        assert len(await listed()) == 2
        tasks.start_soon(site.stop, 2)
        await anyio.sleep(0.3)
        assert await listed() == [f"{site.vm(1)}:8161"]
        served = await site.call(2, "POST", f"{ONCE_PREFIX}x", request("a"))
        assert served.status == 200


async def test_job_runs_and_its_results_are_available_on_every_node(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 2, target(1)) as (site, _):
        assert (await site.submit(1, "job", 12)).status == 202
        assert (await site.submit(2, "job", 12)).status == 202
        results = await site.results(1, "job", 12)
        assert results == await site.results(2, "job", 12)
        assert {row["state"] for row in results} == {"completed"}
        texts = {row["id"]: row["text"] for row in results}
        assert texts["job-3"] == "\n".join(f"job-3-{n}" for n in range(1, 6))
        unknown = await site.call(1, "GET", "/-/lots/none?after=0")
        assert unknown.status == 404
        assert (await site.call(2, "DELETE", "/-/lots/job")).status == 200


async def test_job_survives_a_kill_of_all_nodes(tmp_path: Path) -> None:
    slow = target(1, gap_ms=60, events=20)
    async with fleet(tmp_path, 2, slow) as (site, tasks):
        assert (await site.submit(1, "job", 10)).status == 202
        await anyio.sleep(0.5)
        for number in (1, 2):
            await site.kill(number)
        for number in (1, 2):
            await site.start(number, tasks)
        results = await site.results(2, "job", 10)
        assert {row["state"] for row in results} == {"completed"}


async def test_items_continue_under_the_next_owner(tmp_path: Path) -> None:
    """The owner is killed; events held by the other node are not generated again."""
    slow = target(1, gap_ms=50, events=60)
    async with fleet(tmp_path, 3, slow) as (site, _):
        await anyio.sleep(1.5)
        assert (await site.submit(1, "job", 6)).status == 202
        await anyio.sleep(0.8)
        owner = next(n for n in (1, 2, 3) if site.events(n, "job_accepted"))
        other = next(n for n in (1, 2, 3) if n != owner)
        await site.kill(owner)
        await site.results(other, "job", 6)
        assert len(slow.ran) < 12


async def test_online_request_makes_batch_yield(tmp_path: Path) -> None:
    one = target(1, slots=4, gap_ms=20, events=100)
    async with fleet(tmp_path, 1, one) as (site, _):
        await site.submit(1, "job", 6)
        await anyio.sleep(1)
        async with anyio.create_task_group() as tasks:
            for number in range(4):
                name = request(f"a{number}")
                tasks.start_soon(site.call, 1, "POST", f"{ONCE_PREFIX}x", name)
        starts = [each for each in one.ran if each.startswith("a")]
        assert len(starts) == 4
        await site.results(1, "job", 6)
        resumed = [arrival for arrival in one.arrivals if arrival.last_event > 0]
        assert resumed, "no item yielded"


async def test_poison_item_is_dead_lettered_at_once_and_failing_one_after_retries(
    tmp_path: Path,
) -> None:
    one = target(1)
    async with fleet(tmp_path, 1, one) as (site, _):
        one.faults = TargetFaults(status=422)
        await site.submit(1, "poison", 1)
        (result,) = await site.results(1, "poison", 1)
        assert (result["state"], len(one.ran)) == ("dead_letter", 1)
        one.faults = TargetFaults(status=500)
        await site.submit(1, "failing", 1)
        (result,) = await site.results(1, "failing", 1)
        assert (result["state"], len(one.ran)) == ("dead_letter", 4)


async def test_cancelled_job_stops_and_lists_no_more_results(tmp_path: Path) -> None:
    slow = target(1, gap_ms=100, events=100)
    async with fleet(tmp_path, 2, slow) as (site, _):
        await site.submit(1, "job", 4)
        await anyio.sleep(0.6)
        assert (await site.call(2, "DELETE", "/-/lots/job")).status == 200
        await anyio.sleep(0.5)
        assert len(slow.aborted) == len(slow.ran)
        body = await site.call(1, "GET", "/-/items/job?id=job-1")
        assert body.status == 404


async def test_submission_refused_while_the_store_is_down_leaves_no_job(
    tmp_path: Path,
) -> None:
    one = target(1)
    async with fleet(tmp_path, 1, one) as (site, _):
        await site.submit(1, "first", 1)
        site.store.faults = StoreFaults(down="busy")
        refused = await site.submit(1, "job", 2)
        assert refused.status == 503
        site.store.faults = StoreFaults()
        await anyio.sleep(1.5)
        unknown = await site.call(1, "GET", "/-/lots/job?after=0")
        assert unknown.status == 404


async def test_tokens_over_the_limit_are_refused(tmp_path: Path) -> None:
    slow = target(1, gap_ms=100, events=100)
    async with fleet(tmp_path, 2, slow) as (site, _):
        site.publish(config(9, batch_route(cap=500)))
        await anyio.sleep(1)
        assert (await site.submit(1, "one", 4)).status == 202
        refused = await site.submit(2, "two", 2)
        assert refused.status == 429
        assert float(refused.headers["retry-after"]) > 0
        assert (await site.submit(2, "three", 1)).status == 202


async def test_queued_request_is_served_late_instead_of_aborted(
    tmp_path: Path,
) -> None:
    """All slots are in use; the first event arrives after its latency objective."""
    one = target(1, slots=1, gap_ms=150, events=5)
    two = target(2, slots=1, gap_ms=150, events=5)
    async with fleet(tmp_path, 1, one, two) as (site, _):
        answers: list[int] = []

        async def send_request(number: int) -> None:
            answer = await site.call(
                1, "POST", f"{STREAM_PREFIX}x", request(f"a{number}")
            )
            answers.append(answer.status)

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(send_request, number)
        assert 502 not in answers
        assert answers.count(200) >= 2


async def test_broken_answer_is_not_continued_by_another_target(tmp_path: Path) -> None:
    """An idempotent request may be retried, but its answer can't be resumed."""
    faulty, healthy = target(1), fallback_target(2)
    faulty.faults = TargetFaults(break_after=2)
    async with fleet(tmp_path, 1, faulty, healthy) as (site, _):
        idempotent = route("r-i", "/i/", kind="idempotent", resumable=False)
        site.publish(config(9, idempotent))
        await anyio.sleep(0.5)
        with pytest.raises(httpcore.RemoteProtocolError):
            await site.call(1, "POST", "/i/x", request("a"))
        faulty.faults = TargetFaults(status=500)
        answer = await site.call(1, "POST", "/i/x", request("b"))
        assert answer.body == complete_stream("b")


async def test_refusal_of_a_resumed_run_is_not_part_of_the_stream(
    tmp_path: Path,
) -> None:
    faulty, refusing = target(1), fallback_target(2)
    faulty.faults = TargetFaults(break_after=2)
    refusing.faults = TargetFaults(status=404)
    async with fleet(tmp_path, 1, faulty, refusing) as (site, _):
        with pytest.raises(httpcore.RemoteProtocolError):
            await site.call(1, "POST", f"{STREAM_PREFIX}x", request("a"))


async def test_stopping_node_redirects_callers_at_once(tmp_path: Path) -> None:
    async with fleet(tmp_path, 2, target(1, gap_ms=1500)) as (site, tasks):
        tasks.start_soon(site.call, 2, "POST", f"{ONCE_PREFIX}x", request("long", 9000))
        await anyio.sleep(0.3)
        tasks.start_soon(site.stop, 2)
        await anyio.sleep(3.3)
        refused = await site.call(2, "POST", f"{ONCE_PREFIX}x", request("late"))
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) < 0.1
        assert refused.headers["connection"] == "close"


# Guards against: a caller that never completes its request keeps a stopping node alive
# until the platform kills it.
async def test_stopping_node_ends_in_time_beside_an_unfinished_request(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 1, target(1)) as (site, _):
        document = json.loads(config(2))
        document["limits"] = {"headerTimeoutMs": 60_000}
        site.publish(json.dumps(document).encode())
        with anyio.fail_after(5):
            while site.events(1, "routing_in_force")[-1]["version"] != 2:
                await anyio.sleep(0.05)
        async with await anyio.connect_tcp(site.vm(1), FRONT_PORT) as stream:
            await stream.send(b"GET / HTTP/1.1\r\n")
            with anyio.fail_after(GRACE_S):
                assert await site.stop(1) == 0


async def test_invalid_submission_is_refused_and_nodes_keep_running(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, 2, target(1)) as (site, _):
        await site.submit(1, "job", 1)
        for number in (1, 2):
            for body in (b"{}", b"\xff", b'{"items":[{"id":1}]}'):
                headers = {"X-Chivespan-Request-Id": "bad"}
                answer = await site.call(
                    number, "POST", f"{BATCH_PREFIX}bad", headers, body
                )
                assert answer.status == 400
            too_many = await site.submit(number, "many", 201)
            assert too_many.status == 400
        assert (await site.submit(2, "next", 1)).status == 202
