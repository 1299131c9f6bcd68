"""The rule by which all readers accept the same changes."""

from collections import deque
from collections.abc import Mapping
from datetime import datetime

import msgspec

from pollenloom.configuration.file_loader import load_accepted, load_services
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

# Lets a reader that starts from a snapshot tell the fate of a publish whose
# answer was lost; a publisher gives up long before 32 others have published.
RECENT_PUBLISHES = 32
KEPT_OUTCOMES = 256


class ChangeHistory:
    """Applies the records of the log in order of offset.

    A change is accepted if its base is the revision in force and its files
    are valid at the time at which the platform took it. Whether it is
    accepted depends only on the record and on the state before it, so all
    readers agree, whatever they have read twice or started from.

    A reader that missed trimmed records cannot judge changes before it has
    found a snapshot that covers the gap; it keeps them until then.

    Attributes:
        state: Configuration in force, with the offset up to which it holds.
        outcomes: Decisions on the latest publishes.
        complete: Whether no trimmed record is missing from the state.
        pending: Changes that wait for a snapshot.
    """

    def __init__(self) -> None:
        self.state = ConfigurationSnapshot(position=Offset(0))
        self.outcomes: dict[PublishId, PublishOutcome] = {}
        self.complete = True
        self.gap_end = Offset(0)
        self.pending: deque[tuple[Offset, float, ConfigurationChange]] = deque()

    @property
    def revision(self) -> Revision:
        """Revision in force."""
        return self.state.revision

    def miss(self, earliest: Offset) -> list[PublishOutcome]:
        """Note that records below `earliest` were trimmed before being read.

        Returns:
            No decisions.
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
        """Apply one record; one that was applied before changes nothing.

        Returns:
            The decisions that it led to.
        """
        if offset < self.state.position:
            return []
        if isinstance(entry, ConfigurationSnapshot):
            return self.adopt(entry)
        if not self.complete:
            if not self.pending or self.pending[-1][0] < offset:
                self.pending.append((offset, appended_at, entry))
            return []
        return [self.judge(offset, appended_at, entry)]

    def adopt(self, snapshot: ConfigurationSnapshot) -> list[PublishOutcome]:
        """Take over a snapshot unless it is behind.

        Returns:
            The decisions on changes that waited for it.
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
            self.skip_to(snapshot.position)
        if self.complete or self.state.position >= self.gap_end:
            return self.settle()
        return []

    def settle(self) -> list[PublishOutcome]:
        """Judge waiting changes by what is known.

        Called at the end of the log: if it holds no snapshot, then no
        router knew a configuration for as long as records are kept.
        """
        self.complete = True
        self.skip_to(self.gap_end)
        outcomes = []
        while self.pending:
            offset, appended_at, change = self.pending.popleft()
            if offset >= self.state.position:
                outcomes.append(self.judge(offset, appended_at, change))
        return outcomes

    def skip_to(self, position: Offset) -> None:
        """Note that the state holds up to a higher offset."""
        if position > self.state.position:
            self.state = msgspec.structs.replace(self.state, position=position)

    def judge(
        self,
        offset: Offset,
        appended_at: float,
        change: ConfigurationChange,
    ) -> PublishOutcome:
        """Accept or reject a change and remember the decision."""
        known = self.find_outcome(change.publish_id)
        outcome = self.decide(offset, appended_at, change)
        self.skip_to(Offset(offset + 1))
        if (
            known is not None
            and outcome.decision is not PublishDecision.ACCEPTED
        ):
            return known
        self.outcomes[change.publish_id] = outcome
        while len(self.outcomes) > KEPT_OUTCOMES:
            self.outcomes.pop(next(iter(self.outcomes)))
        return outcome

    def decide(
        self,
        offset: Offset,
        appended_at: float,
        change: ConfigurationChange,
    ) -> PublishOutcome:
        """Return the decision on a change; put it in force if accepted."""
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
        """Put a change in force."""
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
            recent=(*self.state.recent, accepted)[-RECENT_PUBLISHES:],
        )
        return make_accepted(accepted)

    def reject(
        self,
        change: ConfigurationChange,
        decision: PublishDecision,
    ) -> PublishOutcome:
        """Return a decision that names the configuration in force."""
        return PublishOutcome(
            publish_id=change.publish_id,
            publisher=change.publisher,
            decision=decision,
            revision=self.revision,
            winner=self.state.publisher,
        )

    def find_outcome(self, publish_id: PublishId) -> PublishOutcome | None:
        """Return the decision on a publish, if it is known."""
        for accepted in self.state.recent:
            if accepted.publish_id == publish_id:
                return make_accepted(accepted)
        return self.outcomes.get(publish_id)

    def dates_in_force(self) -> Mapping[ServiceId, datetime]:
        """Return the shutdown dates of the configuration in force."""
        services = load_accepted(self.state.files)
        return {name: file.shutdown_date for name, file in services.items()}


def make_accepted(accepted: AcceptedPublish) -> PublishOutcome:
    """Return the decision on an accepted publish."""
    return PublishOutcome(
        publish_id=accepted.publish_id,
        publisher=accepted.publisher,
        decision=PublishDecision.ACCEPTED,
        revision=accepted.revision,
        winner=accepted.publisher,
    )
