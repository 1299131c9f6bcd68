"""Faults of one answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults of one answer; see `BackendFaults`."""

    fails: bool
    late_seconds: float
    crossed: bool
    cut: bool
    dies: bool
    events_before: int
