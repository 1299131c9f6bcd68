"""Faults of the platform."""

from types import MappingProxyType
from typing import Final

from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.round_environment import RoundEnvironment

PLATFORM: Final = 'platform'
NO_FAULTS: Final = MappingProxyType(
    {
        'down': False,
        'slow_seconds': 0,
        'lose_answers': 0,
        'lose_appends': 0,
    },
)


class PlatformFault(Fault):
    """Sets fault switches of the platform's stand-in; one fault at a time."""

    def __init__(self, **switches: object) -> None:
        self.switches = switches

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return the platform; see `Fault.choose`."""
        return environment.pick([PLATFORM])

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Set the switches."""
        await environment.set_platform_faults(**self.switches)

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Reset all switches."""
        await environment.set_platform_faults(**NO_FAULTS)
