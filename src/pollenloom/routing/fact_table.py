"""Facts of one kind, of which the newest about each subject counts."""

from typing import Generic

from pollenloom.routing.shared_fact import ContentT, SharedFact


class FactTable(Generic[ContentT]):
    """Newest fact about each subject, bounded in age and number.

    Merging is idempotent and independent of the order, so facts may arrive
    more than once and by any way, also from a router that has failed since.

    Attributes:
        facts: By key, the latest change last.
        changed_at: When each fact was stored, monotonic seconds.
        change_count: Number of changes so far.
    """

    def __init__(self, max_age_seconds: float, max_facts: int) -> None:
        self.max_age_seconds = max_age_seconds
        self.max_facts = max_facts
        self.facts: dict[str, SharedFact[ContentT]] = {}
        self.changed_at: dict[str, float] = {}
        self.change_count = 0

    def put(self, fact: SharedFact[ContentT], now: float) -> bool:
        """Store a fact unless it is known, older or expired.

        Returns:
            Whether it was stored.
        """
        if fact.observed_at < now - self.max_age_seconds:
            return False
        known = self.facts.get(fact.key)
        if known is not None:
            # An age grows by the time on the way, so that a fact that comes
            # back looks newer than it is.
            is_same = known.fact_id == fact.fact_id
            if is_same or known.observed_at > fact.observed_at:
                return False
        self.remove(fact.key)
        if len(self.facts) >= self.max_facts:
            self.remove(next(iter(self.facts)))
        self.facts[fact.key] = fact
        self.changed_at[fact.key] = now
        self.change_count += 1
        return True

    def remove(self, key: str) -> None:
        """Remove the fact about a subject, if there is one."""
        self.facts.pop(key, None)
        self.changed_at.pop(key, None)

    def drop_expired(self, now: float) -> None:
        """Remove facts that are too old."""
        earliest = now - self.max_age_seconds
        for key, fact in tuple(self.facts.items()):
            if fact.observed_at < earliest:
                self.remove(key)
                self.change_count += 1

    def observed_at(self, key: str) -> float:
        """Return when a subject was observed; minus infinity if never."""
        fact = self.facts.get(key)
        return float('-inf') if fact is None else fact.observed_at

    def changed_since(self, earliest: float) -> list[SharedFact[ContentT]]:
        """Return the facts that were stored at `earliest` or later."""
        recent: list[SharedFact[ContentT]] = []
        for key in reversed(self.facts):
            if self.changed_at[key] < earliest:
                break
            recent.append(self.facts[key])
        return recent

    def latest(self, limit: int) -> list[SharedFact[ContentT]]:
        """Return the facts that were stored last, at most `limit`."""
        return list(self.facts.values())[-limit:]
