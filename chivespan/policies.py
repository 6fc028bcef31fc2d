"""Which registered policy makes each of a scheduler's decisions."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Policies:
    """Names of the decisions in force, and the times they work with.

    :param batch_level: how much batch a target may carry.
    :param grant_lifetime: a grant unused for this long lapses, and so do the grants
        of a holder that was lost; a new owner is careful for as long.
    :param revoke_bound: a holder that hasn't given a revoked grant back by then loses
        the slot anyway.
    """

    batch_level: str = "idle"
    grant_lifetime: timedelta = timedelta(seconds=2)
    revoke_bound: timedelta = timedelta(milliseconds=250)
