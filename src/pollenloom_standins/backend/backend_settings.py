"""Settings shared by the stand-ins for backend servers."""

from dataclasses import dataclass, field

from pollenloom_standins.backend.capacity_model import CapacityLimits
from pollenloom_standins.backend.fencing import FencingMode
from pollenloom_standins.backend.version_behaviour import VersionFaults


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """Settings of a backend server from the command line.

    Attributes:
        version: Version that the server runs.
        limits: Capacity of the server.
        fencing: Whether old fencing numbers are refused.
        version_faults: How and when the version fails or is slow.
        load_lag_seconds: Age of the load report at first.
        seed: Seed of random faults.
    """

    version: str
    limits: CapacityLimits
    fencing: FencingMode = FencingMode.REFUSE
    version_faults: VersionFaults = field(default_factory=VersionFaults)
    load_lag_seconds: float = 0.5
    seed: int = 1
