"""Schedule by which states are appended to the log again."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# An append whose response was lost is read from the log within a few polls.
RETRY_SECONDS = 10.0
# Fraction of the retention time after which a state is appended again. It
# leaves time for an outage before a third of the retention time has passed.
REAPPEND_AGE_SHARE = 0.25
# Publishers and starting routers search backwards from the end of the log for
# a snapshot; at 400 records a second it is at most 360 pages of 1,000 records
# away.
MAX_REAPPEND_AGE_SECONDS = 900.0
# Fraction of the age at which a state is due. Limits the appends of a VM whose
# wall clock is ahead of the platform's.
MIN_ATTEMPT_INTERVAL_SHARE = 0.5


class MaintenanceSchedule:
    """Decides which states are missing from the log or will soon be trimmed.

    A state is named by its register and version, so that a newer version
    counts as missing until it has been read from the log.

    Attributes:
        appended_at: Platform time of the latest record of each state.
        attempted_at: Monotonic time of this VM's latest append of each state.
    """

    def __init__(self) -> None:
        self.appended_at: dict[str, float] = {}
        self.attempted_at: dict[str, float] = {}

    def record_appended(self, state: str, appended_at: float) -> None:
        """Record when a state was appended, in platform time."""
        self.appended_at[state] = appended_at

    def record_attempt(self, state: str, now: float) -> None:
        """Record that this VM tried to append a state, with any result."""
        self.attempted_at[state] = now

    def is_due(
        self,
        state: str,
        retention_seconds: float,
        *,
        now: float,
        wall_time: float,
    ) -> bool:
        """Whether the state must be appended now.

        `now` is monotonic time, `wall_time` seconds since the Unix epoch.
        """
        appended_at = self.appended_at.get(state)
        pause = RETRY_SECONDS
        if appended_at is not None:
            reappend_age = min(
                retention_seconds * REAPPEND_AGE_SHARE, MAX_REAPPEND_AGE_SECONDS
            )
            if wall_time - appended_at < reappend_age:
                return False
            pause = reappend_age * MIN_ATTEMPT_INTERVAL_SHARE
        attempted_at = self.attempted_at.get(state)
        return attempted_at is None or now - attempted_at >= pause

    def remove_superseded(
        self, current: 'Iterable[str]', oldest: float
    ) -> None:
        """Remove states that are not current and whose records were trimmed.

        `oldest` is the wall time before which records have been trimmed.
        """
        kept = set(current)
        self.appended_at = {
            state: appended_at
            for state, appended_at in self.appended_at.items()
            if appended_at >= oldest or state in kept
        }
        self.attempted_at = {
            state: attempted_at
            for state, attempted_at in self.attempted_at.items()
            if state in kept
        }
