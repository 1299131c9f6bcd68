"""Base class of the records of faults."""

import msgspec


class FaultSpan(msgspec.Struct, kw_only=True):
    """A fault from its start to its end, in wall time.

    Attributes:
        target: VM, server or data centre that it acted on, or `platform`,
            `store` or `publishers`.
        started: When its injection began.
        ended: When its removal began; 0 while it lasts.
        recovered: When the target served again; 0 until then.
        exit_code: Exit code of a process that was stopped gracefully.
    """

    target: str
    started: float
    ended: float = 0
    recovered: float = 0
    exit_code: int = 0

    def overlaps(self, start: float, end: float) -> bool:
        """Whether the fault, up to the recovery, overlaps a span of time."""
        last = self.recovered or self.ended
        return self.started <= end and (not last or start <= last)
