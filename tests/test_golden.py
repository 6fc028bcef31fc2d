"""Compares whole sessions of callers and operators with golden transcripts."""

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path

import pytest

from standins.engine import EngineFaults
from standins.enginetext import full_text
from standins.logservice import LogFaults
from tests.sessions import Session
from tools.cluster import Cluster, Site, random_address_block, wait_until
from tools.exampleconfig import write_example

EXAMPLE = Path(__file__).parent.parent / "examples" / "livestock"
DATA_CENTRES = ("hr-east-osijek", "hr-east-vukovar", "hr-east-slavonski")
MODEL = "booking-lm"
OWNER_KEY = "demo-owner-baranja"
OPERATOR_KEYS = {"ana": "demo-operator-ana", "marko": "demo-operator-marko"}
SETTINGS = {
    "heartbeat_ms": "200",
    "peer_silence_ms": "1000",
    "address_lifetime_ms": "1000",
}
TIMEOUT = timedelta(seconds=20)


@pytest.fixture(scope="module")
def files(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return tmp_path_factory.mktemp("inventory")


@pytest.fixture(scope="module")
def cluster(files: Path) -> Iterator[Cluster]:
    site = Site(
        data_centres=DATA_CENTRES,
        region="hr-east",
        block=random_address_block(),
        engines=6,
        plains=3,
        settings=SETTINGS,
    )
    with Cluster(site) as running:
        _, rules = write_example(EXAMPLE, site, files)
        (files / rules.name).write_text(rules.read_text())
        session = _session(running, "ana")
        assert session.run_operator("apply", *_paths(files), "--reason=first day") == 0
        for site_vm in site.vms:
            _wait_for_vms(running, f"{site_vm.vm}:8080", len(site.vms))
        yield running


def _paths(files: Path) -> list[str]:
    return [str(files / "inventory.toml"), str(files / "rules.toml")]


def _session(cluster: Cluster, operator: str = "ana", vm: int = 0) -> Session:
    address = f"{cluster.site.vms[vm].vm}:8080"
    settings = {
        "CHIVESPAN_LOG_URL": cluster.site.log_url,
        "CHIVESPAN_OPERATOR": operator,
        "CHIVESPAN_OPERATOR_KEY": OPERATOR_KEYS[operator],
        "CHIVESPAN_ENTRY": address,
    }
    return Session(address, OWNER_KEY, settings)


def _wait_for_vms(cluster: Cluster, address: str, count: int) -> None:
    session = Session(address, OWNER_KEY, {})
    for _ in wait_until(f"{count} addresses", TIMEOUT):
        answer = session.send("GET", "/v1/addresses", show=False)
        if answer.status == 200:
            addresses = json.loads(answer.content)["addresses"]
            if len(addresses) == count:
                return


def _wait_job_ended(session: Session, job: str) -> None:
    for _ in wait_until("the job's end", TIMEOUT):
        answer = session.send("GET", f"/v1/batches/{job}", show=False)
        if json.loads(answer.content)["status"] in ("finished", "cancelled"):
            return


def _items(*prompts: str, max_tokens: int = 3) -> bytes:
    lines = [
        {"id": f"route-{n}", "prompt": prompt, "max_tokens": max_tokens}
        for n, prompt in enumerate(prompts, 1)
    ]
    return "\n".join(map(json.dumps, lines)).encode()


def test_online_responses_and_streams(cluster: Cluster) -> None:
    session = _session(cluster)
    prompt = "Is slot 7 at gate 2 free?"
    session.add_comment("a complete response")
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
    session.send("POST", "/v1/completions", body)
    session.add_comment("the same request as a stream")
    session.send("POST", "/v1/completions", {**body, "stream": True})
    session.add_comment("a chat request, complete and as a stream")
    messages = [{"role": "user", "content": "Permit 4711, stop after 2"}]
    chat = {"model": MODEL, "messages": messages, "max_tokens": 4}
    session.send("POST", "/v1/chat/completions", chat)
    session.send("POST", "/v1/chat/completions", {**chat, "stream": True})
    session.add_comment("an idempotent call")
    session.send("GET", "/services/bookings/permits/4711")
    session.check("online")


def test_invalid_requests(cluster: Cluster) -> None:
    session = _session(cluster)
    path = "/v1/completions"
    session.send("POST", path, {"model": MODEL, "promt": "x"})
    session.send("POST", path, b'{"model": "booking-lm", ')
    session.send("POST", path, {"model": "no-such-model", "prompt": "x"})
    session.send("POST", path, {"model": MODEL, "prompt": "x", "max_tokens": 0})
    session.send("POST", path, {"model": MODEL, "prompt": "x"}, key="nobody's")
    session.send("GET", "/operator/status")
    session.send("GET", "/services/no-such-service/x")
    session.send("GET", "/v1/batches/job-1-ffffffffffffffffffffffffffffffff")
    lines = _items(*["x"] * 36) + b'\n{"id": "route-37", "prompt": 7}'
    session.send("POST", f"/v1/batches?service={MODEL}", lines, show=False)
    session.add_comment("a job whose line 37 is invalid")
    answer = session.send("POST", f"/v1/batches?service={MODEL}", lines, show=False)
    session.add_comment(
        f"{answer.status} {json.loads(answer.content)['error']['message']}"
    )
    session.check("refused")


def test_broken_streams_are_resumed(cluster: Cluster) -> None:
    session = _session(cluster)
    broken = cluster.site.engine_addresses[:2]
    for address in broken:
        cluster.set_faults(f"http://{address}", EngineFaults("break", after_tokens=2))
    session.add_comment(
        "two of the data centre's engines break every stream after 2 tokens"
    )
    body = {"model": MODEL, "prompt": "Pens for 60 sheep?", "max_tokens": 5}
    try:
        session.send("POST", "/v1/completions", {**body, "stream": True})
    finally:
        for address in broken:
            cluster.set_faults(f"http://{address}", EngineFaults())
    assert full_text("Pens for 60 sheep?", 5).split()[-1] in session.text()
    session.check("retried")


def test_job_with_failed_items_and_cancel(cluster: Cluster) -> None:
    session = _session(cluster)
    path = f"/v1/batches?service={MODEL}"
    key = {"idempotency-key": "evening"}
    lines = _items("Route 1", "Route 2 can never be done", "Route 3")
    submitted = session.send("POST", path, lines, headers=key)
    job = json.loads(submitted.content)["id"]
    _wait_job_ended(session, job)
    session.add_comment("sent again with the same key, then with different content")
    session.send("POST", path, lines, headers=key)
    session.send("POST", path, _items("Route 9"), headers=key)
    session.send("GET", f"/v1/batches/{job}/results")
    session.add_comment("another job, cancelled")
    long = _items(*[f"Loading plan {n}" for n in range(300)], max_tokens=200)
    answer = session.send("POST", path, long, show=False)
    other = json.loads(answer.content)["id"]
    cancelled = session.send("POST", f"/v1/batches/{other}/cancel", show=False)
    shown = json.loads(cancelled.content)
    session.add_comment(
        f"{cancelled.status} {shown['status']} of {shown['items']} items"
    )
    session.check("job")


def test_concurrent_changes_conflict(
    cluster: Cluster, files: Path, tmp_path: Path
) -> None:
    ana, marko = _session(cluster, "ana"), _session(cluster, "marko")
    old = tmp_path / "old.toml"
    marko.run_operator("show", "--toml")
    old.write_text("\n".join(marko.last_output()))
    rules = files / "rules.toml"
    text = rules.read_text()
    rules.write_text(text.replace("weight = 2", "weight = 3"))
    ana.add_comment("ana changes a rule that marko has already read")
    assert ana.run_operator("apply", *_paths(files), "--reason=more weight") == 0
    old.write_text(old.read_text().replace("weight = 2", "weight = 5"))
    ana.add_comment("marko applies a change based on the old version")
    ana.record_from(
        marko, lambda: marko.run_operator("apply", str(old), "--reason=even more")
    )
    ana.run_operator("history", "--limit=2")
    ana.check("race")


def test_log_outage_and_recovery(cluster: Cluster, files: Path) -> None:
    session = _session(cluster)
    path = f"/v1/batches?service={MODEL}"
    cluster.set_faults(cluster.site.log_url, LogFaults(down=True))
    try:
        session.add_comment("the log is down: online requests are still served")
        body = {"model": MODEL, "prompt": "Gate 4?", "max_tokens": 2}
        session.send("POST", "/v1/completions", body)
        session.add_comment(
            "a booking with a key cannot be claimed, and no job is accepted"
        )
        session.send(
            "POST",
            "/services/bookings/bookings",
            b"12 pigs",
            headers={"idempotency-key": "b1"},
        )
        session.send("POST", path, _items("Route 1"), headers={"idempotency-key": "o"})
    finally:
        cluster.set_faults(cluster.site.log_url, LogFaults())
    for _ in wait_until("acceptance", TIMEOUT):
        answer = session.send(
            "POST",
            path,
            _items("Route 1"),
            headers={"idempotency-key": "o"},
            show=False,
        )
        if answer.status == 202:
            break
    session.add_comment("the log answers again")
    _wait_job_ended(session, json.loads(answer.content)["id"])
    session.send("POST", path, _items("Route 1"), headers={"idempotency-key": "o"})
    session.check("outage")


def test_drain(cluster: Cluster) -> None:
    """Must run last in this module, since it stops the third VM."""
    drained = cluster.site.vms[2]
    session, draining = _session(cluster), _session(cluster, vm=2)
    body = {"model": MODEL, "prompt": "A long plan", "max_tokens": 120}
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            draining.send, "POST", "/v1/completions", {**body, "stream": True}
        )
        time.sleep(0.3)
        session.run_operator("drain", drained.vm)
        _wait_for_vms(cluster, session.address, 2)
        session.add_comment("a caller with a cached address list is still served")
        short = {"model": MODEL, "prompt": "Gate 5?", "max_tokens": 2}
        late = draining.send("POST", "/v1/completions", short, show=False)
        session.add_comment(f"{late.status}")
        for process in cluster.vm_processes(drained.vm):
            process.terminate()
        answer = running.result()
    session.add_comment("the request in progress was completed")
    assert answer.content.rstrip().endswith(b"data: [DONE]")
    assert answer.content.count(b'"text"') == 120
    codes = [process.wait() for process in cluster.vm_processes(drained.vm)]
    session.add_comment(f"exit codes {codes}")
    session.check("drain")
