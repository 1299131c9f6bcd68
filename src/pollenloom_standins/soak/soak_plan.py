"""Plan of the fleet of a round."""

import random
from pathlib import Path
from typing import Final

from pollenloom.core.ids import VmId
from pollenloom.core.states import Resource
from pollenloom_standins.demo.demo_plan import (
    APPLICATION,
    DATA_CENTRES,
    MODEL,
)
from pollenloom_standins.fleet.fleet_plan import (
    BackendPlan,
    FleetPlan,
    RouterPlan,
)

MIN_ROUTERS: Final = 4
MAX_ROUTERS: Final = 8
SLOTS: Final = 4
COLD_SLOTS: Final = 1
# Rounds with different seeds use different loopback networks, so that rounds
# that run at the same time do not share addresses.
NETWORKS: Final = 100
FIRST_NETWORK: Final = 100
SECTIONS: Final = '[limits]\ndrain_grace_seconds = 0.2\n'


def draw_router_plans(
    seed: int,
    sections: str = SECTIONS,
) -> tuple[RouterPlan, ...]:
    """Return the routers of a round, spread over the data centres."""
    random_source = random.Random(f'routers {seed}')
    network = FIRST_NETWORK + seed % NETWORKS
    return tuple(
        RouterPlan(
            vm=VmId(f'router-{number}'),
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            host=f'127.{network}.1.{number + 1}',
            sections=sections,
        )
        for number in range(random_source.randint(MIN_ROUTERS, MAX_ROUTERS))
    )


def make_fleet_plan(
    routers: tuple[RouterPlan, ...],
    examples: Path,
) -> FleetPlan:
    """Return a plan with an engine and an application per data centre."""
    backends = [
        BackendPlan(
            vm=VmId(f'{service}-{data_centre}'),
            service=service,
            resource=resource,
            data_centre=data_centre,
            slots=SLOTS,
            cold_slots=COLD_SLOTS,
        )
        for service, resource in (
            (MODEL, Resource.MODEL),
            (APPLICATION, Resource.APPLICATION),
        )
        for data_centre in DATA_CENTRES
    ]
    return FleetPlan(
        routers=routers,
        backends=tuple(backends),
        directories=(examples / 'carromwerk',),
    )
