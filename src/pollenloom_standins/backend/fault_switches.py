"""Assigns faults to requests."""

import asyncio

import msgspec

from pollenloom_standins.backend.backend_faults import BackendFaults
from pollenloom_standins.backend.fault_plan import FaultPlan
from pollenloom_standins.fault_draw import one_less


class FaultSwitches:
    """Holds the faults in force and assigns them to requests."""

    def __init__(self, faults: BackendFaults) -> None:
        self.faults = faults
        self.thawed = asyncio.Event()
        self.thawed.set()

    def put(self, faults: BackendFaults) -> None:
        """Replace the faults in force; `turn_cold` does not stay."""
        self.faults = msgspec.structs.replace(faults, turn_cold=False)
        if faults.frozen:
            self.thawed.clear()
        else:
            self.thawed.set()

    def take(self) -> FaultPlan:
        """Return the faults of the next request and count them."""
        faults = self.faults
        self.faults = msgspec.structs.replace(
            faults,
            next_errors=one_less(faults.next_errors),
            next_late=one_less(faults.next_late),
            next_crossed=one_less(faults.next_crossed),
            next_cut=one_less(faults.next_cut),
            next_died=one_less(faults.next_died),
        )
        return FaultPlan(
            fails=faults.next_errors != 0,
            late_seconds=faults.late_seconds if faults.next_late else 0,
            crossed=faults.next_crossed != 0,
            cut=faults.next_cut != 0,
            dies=faults.next_died != 0,
            events_before=faults.events_before,
        )
