"""What all faults of a round have in common."""

import msgspec


class FaultSpan(msgspec.Struct, kw_only=True):
    """A fault from its start to its end, in wall time.

    Attributes:
        target: What it happened to.
        started: When it was in force.
        ended: When its end began; 0 while it lasts.
        recovered: When the target served again; 0 before.
        exit_code: Exit code of a process that was stopped gracefully.
    """

    target: str
    started: float
    ended: float = 0
    recovered: float = 0
    exit_code: int = 0

    def overlaps(self, start: float, end: float) -> bool:
        """Whether any of the fault falls between two times."""
        last = self.recovered or self.ended
        return self.started <= end and (not last or start <= last)
