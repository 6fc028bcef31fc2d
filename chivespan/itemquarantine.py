"""Collects evidence on the parts of batch items' prompts."""

from collections.abc import Iterable

from chivespan.nodemessages import TargetEntry
from chivespan.partsuspicion import CrashedRequest
from chivespan.promptquarantine import PartStatus, PromptQuarantine
from chivespan.targetliveness import has_ended


class ItemQuarantine:
    """The evidence on parts of prompts, as far as it concerns batch items."""

    def __init__(self, quarantine: PromptQuarantine) -> None:
        self._quarantine = quarantine

    def record_answered(self, parts: Iterable[str]) -> None:
        """Record that a target answers an item with these parts."""
        self._quarantine.record_answered(parts)

    async def record_break(
        self, parts: Iterable[str], item_id: str, entry: TargetEntry
    ) -> None:
        """Record that an item got no answer; evidence only if the target has ended."""
        suspects = [part for part in parts if not self._is_answered(part)]
        if suspects and await has_ended(entry.address):
            crash = CrashedRequest(entry.target_id, entry.started_ms, item_id)
            self._quarantine.record_crash(suspects, crash)

    def _is_answered(self, part: str) -> bool:
        return self._quarantine.status(part) is PartStatus.ANSWERED
