"""All faults that a schedule is drawn from."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind
from pollenloom_standins.soak.backend_faults import (
    COLD_SECONDS,
    BackendKill,
    BackendLeaving,
    BackendLeavingUnlisted,
    BackendSwitch,
)
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.operator_faults import (
    Drain,
    LinkCut,
    PublishRace,
)
from pollenloom_standins.soak.platform_faults import PlatformFault
from pollenloom_standins.soak.router_faults import (
    RouterFreeze,
    RouterKill,
    RouterRestart,
)
from pollenloom_standins.soak.router_role import LogReaderRole, PoolOwnerRole

ROUTER_FAULTS: Final[Mapping[FaultKind, Fault]] = MappingProxyType(
    {
        FaultKind.ROUTER_KILLED: RouterKill(),
        FaultKind.ROUTER_FROZEN: RouterFreeze(),
        FaultKind.ROUTER_RESTARTED: RouterRestart(),
        FaultKind.OWNER_KILLED: RouterKill(PoolOwnerRole()),
        FaultKind.OWNER_FROZEN: RouterFreeze(PoolOwnerRole()),
        FaultKind.READER_KILLED: RouterKill(LogReaderRole()),
        FaultKind.READER_FROZEN: RouterFreeze(LogReaderRole()),
        FaultKind.LINKS_CUT: LinkCut(one_way=False),
        FaultKind.LINKS_CUT_ONE_WAY: LinkCut(one_way=True),
    }
)
PLATFORM_FAULTS: Final[Mapping[FaultKind, Fault]] = MappingProxyType(
    {
        FaultKind.PLATFORM_DOWN: PlatformFault(down=True),
        FaultKind.PLATFORM_SLOW: PlatformFault(slow_seconds=1.0),
        FaultKind.PLATFORM_LOSES_ANSWERS: PlatformFault(lose_answers=0.3),
        FaultKind.PLATFORM_LOSES_APPENDS: PlatformFault(lose_appends=0.3),
        FaultKind.DATA_CENTRE_DRAINED: Drain(),
        FaultKind.PUBLISH_RACE: PublishRace(),
    }
)
BACKEND_FAULTS: Final[Mapping[FaultKind, Fault]] = MappingProxyType(
    {
        FaultKind.BACKEND_KILLED: BackendKill(),
        FaultKind.BACKEND_COLD: BackendSwitch(
            {'turn_cold': True, 'cold_seconds': COLD_SECONDS},
            {},
        ),
        FaultKind.BACKEND_LEAVING: BackendLeaving(),
        FaultKind.BACKEND_LEAVING_UNLISTED: BackendLeavingUnlisted(),
        FaultKind.ANSWERS_LATE: BackendSwitch(
            {'next_late': 3, 'late_seconds': 2},
            {'next_late': 0},
        ),
        FaultKind.ANSWERS_CROSSED: BackendSwitch(
            {'next_crossed': 3},
            {'next_crossed': 0},
        ),
        FaultKind.ANSWERS_CUT: BackendSwitch({'next_cut': 3}, {'next_cut': 0}),
        FaultKind.ANSWERS_DIED: BackendSwitch(
            {'next_died': 3}, {'next_died': 0}
        ),
    }
)
FAULTS: Final = MappingProxyType(
    {**ROUTER_FAULTS, **PLATFORM_FAULTS, **BACKEND_FAULTS},
)
