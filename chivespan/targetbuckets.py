"""Token buckets by target; a new run of a target begins with a new, empty one."""

from collections.abc import Collection
from dataclasses import dataclass, field

from chivespan.clock import Clock
from chivespan.nodemessages import TargetEntry
from chivespan.tokenbucket import TokenBucket


@dataclass(frozen=True, slots=True)
class _RunBucket:
    """The bucket for one run of a target."""

    started_ms: int
    bucket: TokenBucket


@dataclass(slots=True)
class TargetBuckets:
    """One token bucket for each target to which requests are paced."""

    clock: Clock
    _buckets: dict[str, _RunBucket] = field(default_factory=dict)

    def bucket(self, entry: TargetEntry, per_s: float) -> TokenBucket:
        """Return the bucket of a target, with a rate that may have changed."""
        now = self.clock.monotonic()
        known = self._buckets.get(entry.target_id)
        if known is None or known.started_ms != entry.started_ms:
            known = _RunBucket(entry.started_ms, TokenBucket(per_s, now))
            self._buckets[entry.target_id] = known
        elif known.bucket.per_s != per_s:
            known.bucket.set_rate(per_s, now)
        return known.bucket

    def retain(self, target_ids: Collection[str]) -> None:
        """Forget all buckets except those of the given targets."""
        for removed in self._buckets.keys() - set(target_ids):
            del self._buckets[removed]
