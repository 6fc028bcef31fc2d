"""Golden files of whole sessions: what callers and operators see, word for word."""

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
WITHIN = timedelta(seconds=20)


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
        assert session.operate("apply", *_paths(files), "--reason=first day") == 0
        for place in site.vms:
            _wait_for_vms(running, f"{place.vm}:8080", len(site.vms))
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
    for _ in wait_until(f"{count} addresses", WITHIN):
        answer = session.ask("GET", "/v1/addresses", show=False)
        if answer.status == 200:
            named = json.loads(answer.content)["addresses"]
            if len(named) == count:
                return


def _wait_ended(session: Session, job: str) -> None:
    for _ in wait_until("the job's end", WITHIN):
        answer = session.ask("GET", f"/v1/batches/{job}", show=False)
        if json.loads(answer.content)["status"] in ("finished", "cancelled"):
            return


def _items(*prompts: str, max_tokens: int = 3) -> bytes:
    lines = [
        {"id": f"route-{n}", "prompt": prompt, "max_tokens": max_tokens}
        for n, prompt in enumerate(prompts, 1)
    ]
    return "\n".join(map(json.dumps, lines)).encode()


def test_online_whole_and_streamed(cluster: Cluster) -> None:
    session = _session(cluster)
    prompt = "Is slot 7 at gate 2 free?"
    session.note("a whole answer")
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
    session.ask("POST", "/v1/completions", body)
    session.note("the same as a stream")
    session.ask("POST", "/v1/completions", {**body, "stream": True})
    session.note("a chat, whole and as a stream")
    said = [{"role": "user", "content": "Permit 4711, stop after 2"}]
    chat = {"model": MODEL, "messages": said, "max_tokens": 4}
    session.ask("POST", "/v1/chat/completions", chat)
    session.ask("POST", "/v1/chat/completions", {**chat, "stream": True})
    session.note("a call that may be repeated")
    session.ask("GET", "/services/bookings/permits/4711")
    session.check("online")


def test_refused(cluster: Cluster) -> None:
    session = _session(cluster)
    path = "/v1/completions"
    session.ask("POST", path, {"model": MODEL, "promt": "x"})
    session.ask("POST", path, b'{"model": "booking-lm", ')
    session.ask("POST", path, {"model": "no-such-model", "prompt": "x"})
    session.ask("POST", path, {"model": MODEL, "prompt": "x", "max_tokens": 0})
    session.ask("POST", path, {"model": MODEL, "prompt": "x"}, key="nobody's")
    session.ask("GET", "/operator/status")
    session.ask("GET", "/services/no-such-service/x")
    session.ask("GET", "/v1/batches/job-1-ffffffffffffffffffffffffffffffff")
    lines = _items(*["x"] * 36) + b'\n{"id": "route-37", "prompt": 7}'
    session.ask("POST", f"/v1/batches?service={MODEL}", lines, show=False)
    session.note("a job whose line 37 is broken")
    answer = session.ask("POST", f"/v1/batches?service={MODEL}", lines, show=False)
    session.note(f"{answer.status} {json.loads(answer.content)['error']['message']}")
    session.check("refused")


def test_retried(cluster: Cluster) -> None:
    session = _session(cluster)
    broken = cluster.site.engine_addresses[:2]
    for address in broken:
        cluster.set_faults(f"http://{address}", EngineFaults("break", after_tokens=2))
    session.note("two of the data centre's engines break every stream after 2 tokens")
    body = {"model": MODEL, "prompt": "Pens for 60 sheep?", "max_tokens": 5}
    try:
        session.ask("POST", "/v1/completions", {**body, "stream": True})
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
    submitted = session.ask("POST", path, lines, headers=key)
    job = json.loads(submitted.content)["id"]
    _wait_ended(session, job)
    session.note("sent again with the same key, then with other content")
    session.ask("POST", path, lines, headers=key)
    session.ask("POST", path, _items("Route 9"), headers=key)
    session.ask("GET", f"/v1/batches/{job}/results")
    session.note("another job, cancelled")
    long = _items(*[f"Loading plan {n}" for n in range(300)], max_tokens=200)
    answer = session.ask("POST", path, long, show=False)
    other = json.loads(answer.content)["id"]
    cancelled = session.ask("POST", f"/v1/batches/{other}/cancel", show=False)
    shown = json.loads(cancelled.content)
    session.note(f"{cancelled.status} {shown['status']} of {shown['items']} items")
    session.check("job")


def test_operators_race(cluster: Cluster, files: Path, tmp_path: Path) -> None:
    ana, marko = _session(cluster, "ana"), _session(cluster, "marko")
    old = tmp_path / "old.toml"
    marko.operate("show", "--toml")
    old.write_text("\n".join(marko.shown()))
    rules = files / "rules.toml"
    text = rules.read_text()
    rules.write_text(text.replace("weight = 2", "weight = 3"))
    ana.note("ana changes a rule that marko has read before")
    assert ana.operate("apply", *_paths(files), "--reason=more weight") == 0
    old.write_text(old.read_text().replace("weight = 2", "weight = 5"))
    ana.note("marko applies his change to what he has read")
    ana.join(marko, lambda: marko.operate("apply", str(old), "--reason=even more"))
    ana.operate("history", "--limit=2")
    ana.check("race")


def test_log_outage_and_recovery(cluster: Cluster, files: Path) -> None:
    session = _session(cluster)
    path = f"/v1/batches?service={MODEL}"
    cluster.set_faults(cluster.site.log_url, LogFaults(down=True))
    try:
        session.note("the log is down: online work goes on")
        body = {"model": MODEL, "prompt": "Gate 4?", "max_tokens": 2}
        session.ask("POST", "/v1/completions", body)
        session.note("a booking with a key can't be claimed, a job not be taken")
        session.ask(
            "POST",
            "/services/bookings/bookings",
            b"12 pigs",
            headers={"idempotency-key": "b1"},
        )
        session.ask("POST", path, _items("Route 1"), headers={"idempotency-key": "o"})
    finally:
        cluster.set_faults(cluster.site.log_url, LogFaults())
    for _ in wait_until("acceptance", WITHIN):
        answer = session.ask(
            "POST",
            path,
            _items("Route 1"),
            headers={"idempotency-key": "o"},
            show=False,
        )
        if answer.status == 202:
            break
    session.note("the log answers again")
    _wait_ended(session, json.loads(answer.content)["id"])
    session.ask("POST", path, _items("Route 1"), headers={"idempotency-key": "o"})
    session.check("outage")


def test_drain(cluster: Cluster) -> None:
    """Runs last in this file: the third VM leaves."""
    place = cluster.site.vms[2]
    session, leaving = _session(cluster), _session(cluster, vm=2)
    body = {"model": MODEL, "prompt": "A long plan", "max_tokens": 120}
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            leaving.ask, "POST", "/v1/completions", {**body, "stream": True}
        )
        time.sleep(0.3)
        session.operate("drain", place.vm)
        _wait_for_vms(cluster, session.address, 2)
        session.note("a caller with an old answer is still served")
        short = {"model": MODEL, "prompt": "Gate 5?", "max_tokens": 2}
        late = leaving.ask("POST", "/v1/completions", short, show=False)
        session.note(f"{late.status}")
        for process in cluster.vm_processes(place.vm):
            process.terminate()
        answer = running.result()
    session.note("the request in progress ended whole")
    assert answer.content.rstrip().endswith(b"data: [DONE]")
    assert answer.content.count(b'"text"') == 120
    codes = [process.wait() for process in cluster.vm_processes(place.vm)]
    session.note(f"exit codes {codes}")
    session.check("drain")
