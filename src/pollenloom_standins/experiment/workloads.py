"""Workloads of the users' fleets (section 1.2 of the design)."""

from types import MappingProxyType
from typing import Final

from pollenloom.core.ids import AccountId, DataCentreId, ServiceId
from pollenloom_standins.experiment.workload import Workload

CARROMWERK: Final = Workload(
    name='carromwerk',
    data_centres=(
        DataCentreId('enschede'),
        DataCentreId('hengelo'),
        DataCentreId('almelo'),
    ),
    routers=8,
    model=ServiceId('minutes'),
    application=ServiceId('timber'),
    read_path='stock/walnut',
    search_path='stock-searches',
    large=(
        AccountId('league'),
        AccountId('board'),
        AccountId('federation'),
    ),
    flooding=(AccountId('museum'), AccountId('juniors')),
)
XELAJU: Final = Workload(
    name='xelaju',
    data_centres=(
        DataCentreId('almolonga'),
        DataCentreId('cantel'),
        DataCentreId('salcaja'),
    ),
    routers=7,
    model=ServiceId('briefs'),
    application=ServiceId('stitch'),
    read_path='patterns/quetzal',
    large=(
        AccountId('exports'),
        AccountId('uniforms'),
        AccountId('atelier-cantel'),
    ),
    flooding=(AccountId('market'), AccountId('schools')),
)
WORKLOADS: Final = MappingProxyType(
    {workload.name: workload for workload in (CARROMWERK, XELAJU)}
)
