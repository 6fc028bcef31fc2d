"""Selection and parameters of a scheduler's policies."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Policies:
    """Names of the registered policies in force, and their parameters.

    :param target_choice: name in ``TARGET_CHOICES``.
    :param online_order: name in ``QUEUE_ORDERS`` for online requests.
    :param batch_order: name in ``QUEUE_ORDERS`` for batch items.
    :param batch_level: name in ``BATCH_LEVELS``.
    :param refusal: name in ``REFUSALS``.
    :param fixed_batch_slots: batch slots per target under the fixed split.
    :param headroom_cooldown: how long slots released by online work stay unavailable
        to batch.
    :param slice_reserve: slots that batch leaves free in a slice with online work.
    :param prefill_reserve: fraction of a target's slots that batch leaves free during
        the prefill of an online prompt whose prefix is probably not cached.
    :param prefill_time: assumed duration of such a prefill.
    :param demand_limit: fraction of a slice's slots that online work may demand before
        batch leaves free more slots than that demand.
    :param grant_on_revoke: grant a revoked slot to an online request at once, before
        the holder has confirmed the revocation.
    :param grant_lifetime: time after which an unused grant expires, and the grants of
        a lost holder; also the length of a new slice owner's recovery phase.
    :param revoke_bound: time after which the slot of a revoked grant is reclaimed even
        if its holder has not released it.
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
