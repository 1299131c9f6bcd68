"""When state must be appended to the log again."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# An append whose answer was lost shows in the log within a few polls.
ATTEMPT_SECONDS = 10.0
# Leaves time for an outage before a third of the retention has passed.
AGE_SHARE = 0.25
# Publishers and routers that start look for a snapshot from the end of the
# log on; at 400 records a second this is at most 360 pages of 1,000 away.
LONGEST_AGE_SECONDS = 900.0
# Bounds the appends of a VM whose wall clock is ahead of the platform's.
OWN_APPEND_SHARE = 0.5


class UpkeepSchedule:
    """Decides which states are missing from the log or soon trimmed.

    A state is named by its register and version, so that a newer version is
    missing until it has been read from the log.
    """

    def __init__(self) -> None:
        self.appended_at: dict[str, float] = {}
        self.attempted_at: dict[str, float] = {}

    def note_record(self, state: str, appended_at: float) -> None:
        """Note a record that was read; `appended_at` is platform time."""
        self.appended_at[state] = appended_at

    def note_attempt(self, state: str, now: float) -> None:
        """Note an append, whatever its result."""
        self.attempted_at[state] = now

    def is_due(
        self,
        state: str,
        retention_seconds: float,
        *,
        now: float,
        wall: float,
    ) -> bool:
        """Whether the state must be appended now."""
        appended_at = self.appended_at.get(state)
        pause = ATTEMPT_SECONDS
        if appended_at is not None:
            age = min(retention_seconds * AGE_SHARE, LONGEST_AGE_SECONDS)
            if wall - appended_at < age:
                return False
            pause = age * OWN_APPEND_SHARE
        attempted_at = self.attempted_at.get(state)
        return attempted_at is None or now - attempted_at >= pause

    def forget(self, current: 'Iterable[str]', oldest: float) -> None:
        """Forget superseded states whose records have been trimmed."""
        kept = set(current)
        self.appended_at = {
            state: at
            for state, at in self.appended_at.items()
            if at >= oldest or state in kept
        }
        self.attempted_at = {
            state: at
            for state, at in self.attempted_at.items()
            if state in kept
        }
