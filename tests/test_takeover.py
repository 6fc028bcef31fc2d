"""A job finishes when only the batch process that owns its partition fails."""

from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from tools.cluster import Cluster, Process, Site, random_address_block, wait_until
from tools.demo import DATA_CENTRES, REGION, Demo, job_items

ITEMS = 40
SETTINGS = {"heartbeat_ms": "200", "peer_silence_ms": "1000"}
TAKEOVER_TIMEOUT = timedelta(seconds=20)


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    site = Site(
        data_centres=DATA_CENTRES,
        region=REGION,
        block=random_address_block(),
        engines=6,
        plains=3,
        settings=SETTINGS,
    )
    with Cluster(site) as running:
        yield running


def _owner_of(job: str, cluster: Cluster) -> Process:
    stream = f"jobs.{job.split('-')[1]}"
    batches = [cluster.process(f"{place.vm}/batch") for place in cluster.site.vms]
    (owner,) = [
        process
        for process in batches
        if stream in process.tail().rsplit("event=owned", 1)[-1]
    ]
    return owner


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_job_continues_when_only_its_batch_process_fails(
    cluster: Cluster, fault: str, tmp_path: Path
) -> None:
    demo = Demo(cluster, tmp_path)
    demo.apply()
    job = demo.submit(job_items("Route summary", ITEMS, max_tokens=24), "key").id
    for _ in wait_until("the first result of the job"):
        if demo.state(job).done:
            break
    owner = _owner_of(job, cluster)
    if fault == "kill":
        owner.kill()
    else:
        owner.freeze()
    for _ in wait_until("the end of the job", TAKEOVER_TIMEOUT):
        if demo.state(job).status == "finished":
            break
    state = demo.state(job)
    assert (state.done, state.failed) == (ITEMS, 0)
