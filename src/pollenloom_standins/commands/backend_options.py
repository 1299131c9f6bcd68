"""Options that both kinds of backend server have."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom_standins.backend.backend_settings import BackendSettings
from pollenloom_standins.backend.capacity_model import (
    CapacityLimits,
    ColdOverload,
)
from pollenloom_standins.backend.fencing import FencingMode
from pollenloom_standins.backend.version_behaviour import (
    BadKind,
    VersionFaults,
)


@dataclass
class BackendOptions:
    """Address, capacity and version of a backend server.

    Attributes:
        listen: Address to listen on.
        slots: Concurrent requests that it can handle when warm.
        cold_slots: Concurrent requests that it can handle when cold.
        cold_seconds: Duration of a cold start; 0 starts warm.
        cold_overload: What it does with requests beyond its cold slots.
        full_at: Requests in progress at which it refuses more.
        overload_power: Above `slots` the time of a step grows with this power
            of the load; with 1 the throughput stays constant.
        fencing: Whether requests with old fencing numbers are refused.
        load_lag_seconds: Age of the load that it reports.
        version: Version of the service.
        bad_kind: How the version handles affected requests badly.
        bad_after: Requests that the version handles correctly first.
        bad_route: Text in the path of affected requests; empty for all.
        bad_above_load: Requests in progress above which the fault occurs.
        bad_fraction: Fraction of such requests that the fault affects.
        slow_factor: Factor on the time of requests with `bad-kind slow`.
        seed: Seed of faults given as fractions.
    """

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    slots: Annotated[int, cappa.Arg(long=True)] = 8
    cold_slots: Annotated[int, cappa.Arg(long=True)] = 2
    cold_seconds: Annotated[float, cappa.Arg(long=True)] = 0
    cold_overload: Annotated[ColdOverload, cappa.Arg(long=True)] = (
        ColdOverload.FAIL
    )
    full_at: Annotated[int, cappa.Arg(long=True)] = 64
    overload_power: Annotated[float, cappa.Arg(long=True)] = 4
    fencing: Annotated[FencingMode, cappa.Arg(long=True)] = FencingMode.REFUSE
    load_lag_seconds: Annotated[float, cappa.Arg(long=True)] = 0.5
    version: Annotated[str, cappa.Arg(long=True)] = 'v1'
    bad_kind: Annotated[BadKind, cappa.Arg(long=True)] = BadKind.NONE
    bad_after: Annotated[int, cappa.Arg(long=True)] = 0
    bad_route: Annotated[str, cappa.Arg(long=True)] = ''
    bad_above_load: Annotated[int, cappa.Arg(long=True)] = 0
    bad_fraction: Annotated[float, cappa.Arg(long=True)] = 1
    slow_factor: Annotated[float, cappa.Arg(long=True)] = 5
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def backend_settings(self) -> BackendSettings:
        """Return the options as settings of the service."""
        return BackendSettings(
            version=self.version,
            limits=CapacityLimits(
                slots=self.slots,
                cold_slots=self.cold_slots,
                cold_seconds=self.cold_seconds,
                full_at=self.full_at,
                cold_overload=self.cold_overload,
                overload_power=self.overload_power,
            ),
            fencing=self.fencing,
            version_faults=VersionFaults(
                kind=self.bad_kind,
                after=self.bad_after,
                route=self.bad_route,
                above_load=self.bad_above_load,
                fraction=self.bad_fraction,
                slow_factor=self.slow_factor,
            ),
            load_lag_seconds=self.load_lag_seconds,
            seed=self.seed,
        )
