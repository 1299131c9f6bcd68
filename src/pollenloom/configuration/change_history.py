"""Replays the log so that all readers accept the same changes."""

from collections import deque
from collections.abc import Mapping
from datetime import datetime

import msgspec

from pollenloom.configuration.file_loader import (
    load_accepted_services,
    load_services,
)
from pollenloom.configuration.log_entries import (
    AcceptedPublish,
    ConfigurationChange,
    ConfigurationSnapshot,
)
from pollenloom.configuration.publish_outcome import (
    PublishDecision,
    PublishOutcome,
)
from pollenloom.core.ids import Offset, PublishId, Revision, ServiceId

# Lets a reader that starts from a snapshot find the decision on a publish
# whose response was lost. A publisher times out long before 32 other changes
# have been accepted.
MAX_RECENT_PUBLISHES = 32
MAX_OUTCOMES = 256


class ChangeHistory:
    """Applies the records of the log in order of offset.

    A change is accepted if its base is the revision in force and its files
    are valid at the time at which the platform appended it. The decision
    depends only on the record and on the state before it, so all readers
    agree, even if they read records twice or start from different snapshots.

    A reader that missed trimmed records cannot decide on changes until it
    has found a snapshot that covers the gap; it keeps them as pending.

    Attributes:
        state: Configuration in force; it includes all records below its
            position.
        outcomes: Decisions on the latest publishes.
        complete: Whether the state covers all trimmed records.
        gap_end: Offset of the first record after the trimmed ones.
        pending: Changes that wait for a snapshot, as (offset, platform time
            of the append, change).
    """

    def __init__(self) -> None:
        self.state = ConfigurationSnapshot(position=Offset(0))
        self.outcomes: dict[PublishId, PublishOutcome] = {}
        self.complete = True
        self.gap_end = Offset(0)
        self.pending: deque[tuple[Offset, float, ConfigurationChange]] = deque()

    @property
    def revision(self) -> Revision:
        """Revision of the configuration in force."""
        return self.state.revision

    def mark_gap(self, earliest: Offset) -> list[PublishOutcome]:
        """Mark records below `earliest` as trimmed before they were read.

        Returns:
            An empty list, as for a step without decisions.
        """
        if earliest > self.state.position:
            self.gap_end = earliest
            self.complete = False
        return []

    def apply(
        self,
        offset: Offset,
        appended_at: float,
        entry: ConfigurationChange | ConfigurationSnapshot,
    ) -> list[PublishOutcome]:
        """Apply one record; a record that was already applied has no effect.

        Returns:
            Decisions that the record led to.
        """
        if offset < self.state.position:
            return []
        if isinstance(entry, ConfigurationSnapshot):
            return self.adopt(entry)
        if not self.complete:
            if not self.pending or self.pending[-1][0] < offset:
                self.pending.append((offset, appended_at, entry))
            return []
        return [self.decide_and_record(offset, appended_at, entry)]

    def adopt(self, snapshot: ConfigurationSnapshot) -> list[PublishOutcome]:
        """Adopt a snapshot unless its revision is lower.

        Returns:
            Decisions on the changes that waited for it.
        """
        if snapshot.revision < self.revision:
            return []
        if snapshot.revision > self.revision:
            position = max(self.state.position, snapshot.position)
            self.state = msgspec.structs.replace(
                snapshot,
                position=position,
                data_centres=(),
            )
        elif not self.complete:
            self.advance_position(snapshot.position)
        if self.complete or self.state.position >= self.gap_end:
            return self.decide_pending()
        return []

    def decide_pending(self) -> list[PublishOutcome]:
        """Mark the state as complete and decide on the pending changes.

        Also called at the end of the log when the wait for a snapshot has
        timed out: then no router had a configuration within the retention
        time.
        """
        self.complete = True
        self.advance_position(self.gap_end)
        outcomes = []
        while self.pending:
            offset, appended_at, change = self.pending.popleft()
            if offset >= self.state.position:
                outcomes.append(
                    self.decide_and_record(offset, appended_at, change)
                )
        return outcomes

    def advance_position(self, position: Offset) -> None:
        """Raise the offset up to which the state includes all records."""
        if position > self.state.position:
            self.state = msgspec.structs.replace(self.state, position=position)

    def decide_and_record(
        self,
        offset: Offset,
        appended_at: float,
        change: ConfigurationChange,
    ) -> PublishOutcome:
        """Decide on a change and keep the decision for `find_outcome`.

        A repeated copy that is not accepted keeps the earlier decision.
        """
        previous = self.find_outcome(change.publish_id)
        outcome = self.decide(offset, appended_at, change)
        self.advance_position(Offset(offset + 1))
        if (
            previous is not None
            and outcome.decision is not PublishDecision.ACCEPTED
        ):
            return previous
        self.outcomes[change.publish_id] = outcome
        while len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.pop(next(iter(self.outcomes)))
        return outcome

    def decide(
        self,
        offset: Offset,
        appended_at: float,
        change: ConfigurationChange,
    ) -> PublishOutcome:
        """Return the decision on a change; apply the change if accepted."""
        if change.base_revision != self.revision:
            return self.reject(change, PublishDecision.LOST)
        loaded = load_services(
            change.files,
            appended_at,
            self.dates_in_force(),
        )
        if loaded.problems:
            rejected = self.reject(change, PublishDecision.INVALID)
            return PublishOutcome(
                publish_id=rejected.publish_id,
                publisher=rejected.publisher,
                decision=rejected.decision,
                revision=rejected.revision,
                winner=rejected.winner,
                problems=loaded.problems,
            )
        return self.accept(offset, change)

    def accept(
        self,
        offset: Offset,
        change: ConfigurationChange,
    ) -> PublishOutcome:
        """Make a change the configuration in force."""
        accepted = AcceptedPublish(
            publish_id=change.publish_id,
            revision=Revision(self.revision + 1),
            publisher=change.publisher,
        )
        self.state = ConfigurationSnapshot(
            position=Offset(offset + 1),
            revision=accepted.revision,
            publish_id=change.publish_id,
            publisher=change.publisher,
            files=change.files,
            recent=(*self.state.recent, accepted)[-MAX_RECENT_PUBLISHES:],
        )
        return make_accepted_outcome(accepted)

    def reject(
        self,
        change: ConfigurationChange,
        decision: PublishDecision,
    ) -> PublishOutcome:
        """Return a negative decision with the configuration in force."""
        return PublishOutcome(
            publish_id=change.publish_id,
            publisher=change.publisher,
            decision=decision,
            revision=self.revision,
            winner=self.state.publisher,
        )

    def find_outcome(self, publish_id: PublishId) -> PublishOutcome | None:
        """Return the decision on a publish, or None if it is not known."""
        for accepted in self.state.recent:
            if accepted.publish_id == publish_id:
                return make_accepted_outcome(accepted)
        return self.outcomes.get(publish_id)

    def dates_in_force(self) -> Mapping[ServiceId, datetime]:
        """Return the shutdown dates of the configuration in force."""
        services = load_accepted_services(self.state.files)
        return {name: file.shutdown_date for name, file in services.items()}


def make_accepted_outcome(accepted: AcceptedPublish) -> PublishOutcome:
    """Return the decision on an accepted publish."""
    return PublishOutcome(
        publish_id=accepted.publish_id,
        publisher=accepted.publisher,
        decision=PublishDecision.ACCEPTED,
        revision=accepted.revision,
        winner=accepted.publisher,
    )
