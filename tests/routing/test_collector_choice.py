"""Tests of the choice of collectors."""

import pytest

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.routing.collector_choice import (
    COLLECTORS_PER_DATA_CENTRE,
    EXCLUSION_SECONDS,
    REPLY_TIMEOUT_SECONDS,
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


def test_all_routers_choose_the_largest(routers: list[FleetRouter]) -> None:
    """Guards against small VMs as collectors, and against diverging choices."""
    expected = chosen(CollectorChoice(), routers, NOW)
    assert expected == ['vm-2', 'vm-4']
    routers.reverse()
    assert chosen(CollectorChoice(), routers, NOW) == expected
    assert len(expected) == COLLECTORS_PER_DATA_CENTRE


def test_unresponsive_collector_is_excluded_for_a_while(
    routers: list[FleetRouter],
) -> None:
    """Guards against routers that depend on a frozen collector."""
    choice = CollectorChoice()
    choice.request_sent(VmId('vm-2'), NOW)
    choice.request_sent(VmId('vm-2'), NOW + REPLY_TIMEOUT_SECONDS / 2)
    later = NOW + REPLY_TIMEOUT_SECONDS * 1.1
    assert chosen(choice, routers, later) == ['vm-4', 'vm-0']
    again = later + EXCLUSION_SECONDS
    assert chosen(choice, routers, again)[0] == 'vm-2'


def test_responsive_collector_is_kept(routers: list[FleetRouter]) -> None:
    """Guards against a collector that is replaced although it replies."""
    choice = CollectorChoice()
    for step in range(30):
        choice.request_sent(VmId('vm-2'), NOW + step / 10)
        choice.reply_received(VmId('vm-2'))
        assert chosen(choice, routers, NOW + step / 10)[0] == 'vm-2'


def test_collectors_are_chosen_when_all_are_unresponsive(
    routers: list[FleetRouter],
) -> None:
    """Guards against a data centre without collectors.

    All routers are excluded after a pause in which none of them replied.
    """
    choice = CollectorChoice()
    for router in routers:
        choice.request_sent(router.vm, NOW)
    assert chosen(choice, routers, NOW + 1)
