"""Which registered policy makes each of a scheduler's decisions."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Policies:
    """Names of the decisions in force, and the times and sizes they work with.

    :param target_choice: name in ``TARGET_CHOICES``.
    :param online_order: name in ``QUEUE_ORDERS`` for online requests.
    :param batch_order: name in ``QUEUE_ORDERS`` for batch items.
    :param batch_level: name in ``BATCH_LEVELS``.
    :param refusal: name in ``REFUSALS``.
    :param fixed_batch_slots: batch slots of each target under the fixed split.
    :param headroom_cooldown: slots that online gave back stay free of batch this long.
    :param slice_reserve: slots that batch leaves free in a slice with online work.
    :param prefill_reserve: part of a target that batch leaves free while an online
        request reads a prompt there whose head is probably not in the cache.
    :param prefill_time: how long such a read takes.
    :param demand_limit: part of a slice's slots that online may want before batch
        leaves more than those free.
    :param grant_on_revoke: give a revoked grant's slot to online at once, before its
        holder has confirmed.
    :param grant_lifetime: a grant unused for this long lapses, and so do the grants
        of a holder that was lost; a new owner is careful for as long.
    :param revoke_bound: a holder that hasn't given a revoked grant back by then loses
        the slot anyway.
    """

    target_choice: str = "heads_near_counts"
    online_order: str = "deadline_fair"
    batch_order: str = "fair"
    batch_level: str = "steered"
    refusal: str = "deadline"
    fixed_batch_slots: int = 4
    headroom_cooldown: timedelta = timedelta(0)
    slice_reserve: int = 0
    prefill_reserve: float = 0.5
    demand_limit: float = 0.7
    prefill_time: timedelta = timedelta(milliseconds=45)
    grant_on_revoke: bool = True
    grant_lifetime: timedelta = timedelta(seconds=2)
    revoke_bound: timedelta = timedelta(milliseconds=250)
