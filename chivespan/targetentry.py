"""What a target of the fleet says of itself: the entry that it keeps in the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One running target.

    :param target_id: names one run of the target; a restart mostly gets another.
    :param started_ms: Unix milliseconds of its start; 0 where it doesn't say.
    :param sequence: counts up with each renewal of one run.
    :param slots: requests that it runs at a time.
    :param draining: whether it takes no new requests.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    sequence: int
    started_ms: int

    @property
    def age(self) -> tuple[int, int]:
        """How new the entry is among all entries of this id."""
        return (self.started_ms, self.sequence)
