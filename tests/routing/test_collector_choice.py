"""Who adds up the load reports of a data centre."""

import pytest

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.routing.collector_choice import (
    COLLECTORS,
    PAUSE_SECONDS,
    SILENCE_SECONDS,
    CollectorChoice,
)
from pollenloom.routing.fleet_router import FleetRouter

NOW = 20.0


@pytest.fixture
def routers() -> list[FleetRouter]:
    """Six routers of a data centre, two of them large."""
    return [
        FleetRouter(
            VmId(f'vm-{number}'),
            DataCentreId('here'),
            ('10.0.0.1', 80),
            2.0 if number in {2, 4} else 0.5,
        )
        for number in range(6)
    ]


def chosen(
    choice: CollectorChoice,
    routers: list[FleetRouter],
    now: float,
) -> list[str]:
    """Return the ids of the chosen routers."""
    return [router.vm for router in choice.choose(routers, now)]


def test_all_choose_the_largest(routers: list[FleetRouter]) -> None:
    """Guards against common duties that fall on small machines."""
    own = chosen(CollectorChoice(), routers, NOW)
    assert own == ['vm-2', 'vm-4']
    routers.reverse()
    assert chosen(CollectorChoice(), routers, NOW) == own
    assert len(own) == COLLECTORS


def test_silent_collector_is_left_out_for_a_while(
    routers: list[FleetRouter],
) -> None:
    """Guards against routers that rely on a collector that is frozen."""
    choice = CollectorChoice()
    choice.asked(VmId('vm-2'), NOW)
    choice.asked(VmId('vm-2'), NOW + SILENCE_SECONDS / 2)
    later = NOW + SILENCE_SECONDS * 1.1
    assert chosen(choice, routers, later) == ['vm-4', 'vm-0']
    again = later + PAUSE_SECONDS
    assert chosen(choice, routers, again)[0] == 'vm-2'


def test_answering_collector_stays(routers: list[FleetRouter]) -> None:
    """Guards against a choice that wanders without need."""
    choice = CollectorChoice()
    for step in range(30):
        choice.asked(VmId('vm-2'), NOW + step / 10)
        choice.answered(VmId('vm-2'))
        assert chosen(choice, routers, NOW + step / 10)[0] == 'vm-2'


def test_some_router_is_chosen_when_all_are_silent(
    routers: list[FleetRouter],
) -> None:
    """Guards against a data centre without sums after a long pause."""
    choice = CollectorChoice()
    for router in routers:
        choice.asked(router.vm, NOW)
    assert chosen(choice, routers, NOW + 1)
