"""The configuration outlives the log's retention, and its versions never fall."""

import anyio
import pytest

from chivespan.codec import encode
from chivespan.configcopy import ConfigCopy
from chivespan.configfold import CONFIG_STREAM, ConfigFold
from chivespan.configsnapshots import ConfigSnapshots
from chivespan.configuration import DocumentId
from chivespan.documents import DocumentKind, Region
from chivespan.envelope import encode_record
from chivespan.records import ConfigChange, DocumentChange, RecordId
from chivespan.snapshots import SnapshotStore, snapshots_stream
from tests.batchfakes import Site

pytestmark = pytest.mark.anyio


def change(site: Site, name: str, base: int) -> None:
    body = encode(Region(name=name))
    changes = [
        DocumentChange(kind="region", name=name, base_version=base, document=body)
    ]
    record = ConfigChange(operator="o", reason="r", changes=changes)
    count = len(site.log.records(CONFIG_STREAM))
    record_id = RecordId(writer="o", sequence=count + 1)
    payload = encode_record(record, record_id, site.clock.now())
    site.log.put(CONFIG_STREAM, [payload])


async def test_newcomer_after_retention_gets_the_newest_configuration() -> None:
    site = Site()
    change(site, "north", 0)
    old = ConfigFold()
    old.apply(site.log.records(CONFIG_STREAM)[0])
    for base in (1, 2, 3):
        change(site, "north", base)
    async with site.partitions() as partitions:
        partitions.own(frozenset({CONFIG_STREAM}))
        with anyio.fail_after(5):
            while not site.log.records(snapshots_stream(CONFIG_STREAM)):
                await anyio.sleep(0.001)
    await SnapshotStore(site.log, CONFIG_STREAM, "paused").write(old, site.clock.now())
    site.log.expire(CONFIG_STREAM, 4)
    snapshot = await ConfigSnapshots(site.log)()
    assert snapshot is not None
    copy = ConfigCopy()
    assert copy.take_snapshot(snapshot)
    assert copy.configuration.version(DocumentId(DocumentKind.region, "north")) == 4
    site.log.outage = True
    assert await ConfigSnapshots(site.log)() is None
