"""Settings shared by the stand-ins for backend servers."""

from dataclasses import dataclass, field

from pollenloom_standins.backend.capacity_model import CapacityLimits
from pollenloom_standins.backend.fencing import FencingMode
from pollenloom_standins.backend.version_behaviour import VersionFaults


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """What the command line says about a backend server.

    Attributes:
        version: Version that it runs.
        limits: Capacity.
        fencing: Whether old fencing numbers are refused.
        version_faults: How and when the version goes wrong.
        load_lag_seconds: Age of the load report.
        seed: Seed of faults given as fractions.
    """

    version: str
    limits: CapacityLimits
    fencing: FencingMode = FencingMode.REFUSE
    version_faults: VersionFaults = field(default_factory=VersionFaults)
    load_lag_seconds: float = 0.5
    seed: int = 1
