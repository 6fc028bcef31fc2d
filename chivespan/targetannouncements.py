"""Records what a response of a target announces besides its content."""

from chivespan.exchange import Reply
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry
from chivespan.platform import wire
from chivespan.targetpick import TargetPicker

_log = logger("limits")


def record_announcements(
    picker: TargetPicker, entry: TargetEntry, reply: Reply, request_id: str
) -> None:
    """Record whether the target is leaving and which rate limit it states.

    :param entry: the target that the request was addressed to.
    """
    if wire.announces_leaving(reply):
        picker.record_leaving(entry)
    try:
        picker.record_limit(entry, wire.stated_rate_limit(reply, request_id))
    except ValueError as error:
        _log.warning(
            "target_limit_unreadable",
            target=entry.target_id,
            request=request_id,
            reason=str(error),
        )
