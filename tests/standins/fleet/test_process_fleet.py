"""Tests of the files of a fleet of processes."""

import os
from pathlib import Path

import pytest

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom_standins.fleet.fleet_plan import FleetPlan, RouterPlan
from pollenloom_standins.fleet.process_fleet import ProcessFleet

ROUTERS = tuple(
    RouterPlan(
        vm=VmId(name),
        data_centre=DataCentreId('enschede'),
        host='127.0.0.1',
    )
    for name in ('router-1', 'router-2')
)
SECRETS = ('fleet.key', 'operator.token')


@pytest.fixture
def fleet(tmp_path: Path) -> ProcessFleet:
    """Fleet of two routers whose platform has started."""
    fleet = ProcessFleet(
        FleetPlan(routers=ROUTERS, backends=(), directories=()), tmp_path
    )
    fleet.platform.ready = {'ready': '127.0.0.1:1'}
    fleet.write_secrets()
    return fleet


@pytest.mark.parametrize('name', SECRETS)
def test_start_of_a_router_leaves_the_secrets_of_others(
    fleet: ProcessFleet, tmp_path: Path, name: str
) -> None:
    """Guards against a router that exits as it read an empty secret.

    A file that is written anew is empty for a moment.
    """
    os.utime(tmp_path / name, (1, 1))
    for router in ROUTERS:
        fleet.write_settings(router)
    assert int((tmp_path / name).stat().st_mtime) == 1
    assert (tmp_path / name).read_text()
