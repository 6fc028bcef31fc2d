"""Names of the registered policies that a node uses, from its environment."""

from collections.abc import Mapping
from dataclasses import dataclass

TARGET_CHOICE_VARIABLE = "CHIVESPAN_TARGET_CHOICE"
BATCH_ROOM_VARIABLE = "CHIVESPAN_BATCH_ROOM"


@dataclass(frozen=True, slots=True)
class NodePolicies:
    """Names of the registered policies that a node uses.

    :param target_choice: policy that selects the target of an online request.
    :param batch_room: policy that limits the number of batch items on a target.
    """

    target_choice: str = "shared_counts"
    batch_room: str = "below_peaks"

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> "NodePolicies":
        """Return the policies named by environment variables."""
        return cls(
            environment.get(TARGET_CHOICE_VARIABLE, cls().target_choice),
            environment.get(BATCH_ROOM_VARIABLE, cls().batch_room),
        )


DEFAULT_POLICIES = NodePolicies()
