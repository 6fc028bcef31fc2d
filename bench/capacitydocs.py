"""Generates configuration records: an inventory of any size and changes to it."""

from collections.abc import Iterator
from datetime import UTC, datetime

from chivespan.codec import encode
from chivespan.documents import (
    DataCentre,
    DocumentKind,
    Model,
    Owner,
    Region,
    Rule,
    Runner,
    Service,
    ServiceKind,
    WorkClassRule,
)
from chivespan.envelope import encode_record
from chivespan.records import ConfigChange, DocumentChange, RecordId

DOCUMENTS_PER_CHANGE = 100
SERVICE = "booking-lm"
MODEL = "booking-1"
SLOTS = 8
TARGET_PORT = 9000


class ConfigRecordBuilder:
    """Builds consecutive records of a configuration stream that is empty at first.

    :param network: first two octets of the targets' IP addresses.
    """

    def __init__(self, network: str) -> None:
        self._network = network
        self.end = 0
        self.count = 0
        self._versions: dict[str, int] = {}

    def addresses(self, targets: int) -> list[str]:
        """Return the addresses of the targets in the node's data centre."""
        return [_address(self._network, number) for number in range(targets)]

    def inventory(self, targets: int, far_targets: int, owners: int) -> Iterator[bytes]:
        """Yield the records that create an inventory."""
        documents = list(_documents(self._network, targets, far_targets, owners))
        self.count = len(documents)
        for start in range(0, len(documents), DOCUMENTS_PER_CHANGE):
            part = documents[start : start + DOCUMENTS_PER_CHANGE]
            yield self._record([_added(kind, each) for kind, each in part])

    def change(self, written_at: datetime) -> bytes:
        """Return a record that changes one rule."""
        rule = Rule(
            name="spare",
            owner="owner-0",
            service=SERVICE,
            work_class=WorkClassRule.batch,
            weight=self.end + 1,
        )
        base = self._versions.get("spare", 0)
        self._versions["spare"] = self.end + 1
        change = DocumentChange(
            kind="rule", name="spare", base_version=base, document=encode(rule)
        )
        return self._record([change], written_at)

    def _record(
        self, changes: list[DocumentChange], written_at: datetime | None = None
    ) -> bytes:
        self.end += 1
        change = ConfigChange(operator="op", reason="bench", changes=changes)
        record_id = RecordId(writer="bench", sequence=self.end)
        return encode_record(change, record_id, written_at or datetime.now(UTC))


def _documents(
    network: str, targets: int, far_targets: int, owners: int
) -> Iterator[tuple[DocumentKind, object]]:
    yield DocumentKind.region, Region(name="region-0")
    for number in range(13):
        centre = DataCentre(name=f"centre-{number}", region="region-0")
        yield DocumentKind.data_centre, centre
    yield DocumentKind.model, Model(name=MODEL, version="1")
    service = Service(name=SERVICE, kind=ServiceKind.model, models=[MODEL])
    yield DocumentKind.service, service
    for number in range(targets):
        yield DocumentKind.runner, _runner(network, number, "centre-0")
    for number in range(far_targets):
        centre_name = f"centre-{number % 12 + 1}"
        yield DocumentKind.runner, _runner(network, targets + number, centre_name)
    yield from _owners(max(1, owners))


def _owners(count: int) -> Iterator[tuple[DocumentKind, object]]:
    for number in range(count):
        name = f"owner-{number}"
        yield DocumentKind.owner, Owner(name=name, key_sha256=[f"{number:064x}"])
        for work in WorkClassRule:
            rule = Rule(
                name=f"{name}-{work.value}",
                owner=name,
                service=SERVICE,
                work_class=work,
            )
            yield DocumentKind.rule, rule


def _runner(network: str, number: int, centre: str) -> Runner:
    return Runner(
        name=f"runner-{number}",
        service=SERVICE,
        address=_address(network, number),
        data_centre=centre,
        slots=SLOTS,
        model=MODEL,
        version="1",
    )


def _address(network: str, number: int) -> str:
    return f"{network}.{100 + number // 250}.{number % 250 + 1}:{TARGET_PORT}"


def _added(kind: DocumentKind, document: object) -> DocumentChange:
    name = getattr(document, "name")  # noqa: B009
    return DocumentChange(
        kind=kind.value, name=name, base_version=0, document=encode(document)
    )
