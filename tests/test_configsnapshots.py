"""Tests that snapshots preserve the configuration beyond the log's retention.

A paused writer may append an old snapshot after a newer one; a reader that chose the
last appended one would revert documents to older versions.
"""

from dataclasses import dataclass

import pytest

from chivespan.codec import encode
from chivespan.configcopy import ConfigCopy
from chivespan.configfold import CONFIG_STREAM, ConfigFold
from chivespan.configsnapshots import ConfigSnapshots
from chivespan.configuration import DocumentId
from chivespan.documents import DocumentKind, Region
from chivespan.envelope import encode_record
from chivespan.membership import Membership
from chivespan.metrics import Metrics
from chivespan.records import ConfigChange, DocumentChange, RecordId
from chivespan.snapshots import SnapshotStore
from tests.batchfakes import Site
from tests.controlnodes import settings_of

pytestmark = pytest.mark.anyio


def publish_change(site: Site, name: str, base: int) -> None:
    body = encode(Region(name=name))
    changes = [
        DocumentChange(kind="region", name=name, base_version=base, document=body)
    ]
    record = ConfigChange(operator="o", reason="r", changes=changes)
    count = len(site.log.records(CONFIG_STREAM))
    record_id = RecordId(writer="o", sequence=count + 1)
    payload = encode_record(record, record_id, site.clock.now())
    site.log.put(CONFIG_STREAM, [payload])


@dataclass
class ConfigNode:
    """A copy of the configuration and the snapshots of one node."""

    copy: ConfigCopy
    snapshots: ConfigSnapshots


def config_node(site: Site) -> ConfigNode:
    copy = ConfigCopy()
    settings = settings_of("127.44.0.1", 1)
    membership = Membership(settings, site.clock)
    snapshots = ConfigSnapshots(
        settings, site.log, copy, membership, site.clock, Metrics(), "w"
    )
    return ConfigNode(copy, snapshots)


async def test_new_reader_after_retention_gets_the_newest_configuration() -> None:
    site = Site()
    publish_change(site, "north", 0)
    old = ConfigFold()
    old.apply(site.log.records(CONFIG_STREAM)[0])
    for base in (1, 2, 3):
        publish_change(site, "north", base)
    writer, reader = config_node(site), config_node(site)
    for record in site.log.records(CONFIG_STREAM):
        writer.copy.fold.apply(record)
    await writer.snapshots.write()
    await SnapshotStore(site.log, CONFIG_STREAM, "paused").write(old, site.clock.now())
    site.log.expire(CONFIG_STREAM, 4)
    snapshot = await reader.snapshots.newest()
    assert snapshot is not None
    copy = ConfigCopy()
    assert copy.apply_snapshot(snapshot)
    assert copy.configuration.version(DocumentId(DocumentKind.region, "north")) == 4
    site.log.outage = True
    assert await reader.snapshots.newest() is None
