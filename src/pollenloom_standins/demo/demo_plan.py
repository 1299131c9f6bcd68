"""The fleet of the demonstration."""

from pathlib import Path
from typing import Final

from pollenloom.core.ids import DataCentreId, ServiceId, VersionId, VmId
from pollenloom.core.states import Resource
from pollenloom_standins.fleet.fleet_plan import (
    BackendPlan,
    FleetPlan,
    RouterPlan,
)

DATA_CENTRES: Final = (
    DataCentreId('enschede'),
    DataCentreId('hengelo'),
    DataCentreId('almelo'),
)
MODEL: Final = ServiceId('answers')
APPLICATION: Final = ServiceId('timber')
SETTINGS_SECTIONS: Final = '[limits]\ndrain_grace_seconds = 0.2\n'


def demo_plan(examples: Path, new_version: str | None = None) -> FleetPlan:
    """Return a router, an engine and an application in each data centre.

    If `new_version` is given, each data centre also has an engine of that
    version.
    """
    routers = [
        RouterPlan(
            vm=VmId(f'router-{data_centre}'),
            data_centre=data_centre,
            host=f'127.0.{number}.1',
            sections=SETTINGS_SECTIONS,
        )
        for number, data_centre in enumerate(DATA_CENTRES, start=1)
    ]
    backends = [
        BackendPlan(
            vm=VmId(f'{service}-{data_centre}'),
            service=service,
            resource=resource,
            data_centre=data_centre,
        )
        for service, resource in (
            (MODEL, Resource.MODEL),
            (APPLICATION, Resource.APPLICATION),
        )
        for data_centre in DATA_CENTRES
    ]
    if new_version is not None:
        backends.extend(
            BackendPlan(
                vm=VmId(f'{MODEL}-{new_version}-{data_centre}'),
                service=MODEL,
                resource=Resource.MODEL,
                data_centre=data_centre,
                version=VersionId(new_version),
            )
            for data_centre in DATA_CENTRES
        )
    return FleetPlan(
        routers=tuple(routers),
        backends=tuple(backends),
        directories=(examples / 'carromwerk',),
    )
