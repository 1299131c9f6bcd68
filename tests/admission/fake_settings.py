"""Settings and configuration of a simulated fleet."""

from datetime import UTC, datetime
from pathlib import Path

from pollenloom.configuration.account_entry import AccountEntry
from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    Revision,
    ServiceId,
    VersionId,
    VmId,
)
from pollenloom.core.states import Resource
from pollenloom.settings.router_settings import (
    AdmissionSettings,
    PeerSettings,
    PlatformSettings,
    RouterSettings,
)

SERVICE = ServiceId('minutes')
ENSCHEDE = DataCentreId('enschede')
HENGELO = DataCentreId('hengelo')


def make_configuration(
    shares: dict[str, float],
    max_waiting: int = 64,
    *,
    cross_data_centre: bool = True,
) -> Configuration:
    """Return the configuration of one model in two data centres."""
    accounts = tuple(
        AccountEntry(
            name=AccountId(name),
            share=share,
            max_waiting=max_waiting,
        )
        for name, share in shares.items()
    )
    service = ServiceFile(
        service=SERVICE,
        resource=Resource.MODEL,
        shutdown_date=datetime(2036, 1, 1, tzinfo=UTC),
        data_centres=(ENSCHEDE, HENGELO),
        versions=(VersionId('v1'), VersionId('v2')),
        cross_data_centre=cross_data_centre,
        accounts=accounts,
    )
    return Configuration(Revision(1), {SERVICE: service})


def make_settings(
    vm: VmId,
    data_centre: DataCentreId,
    admission: AdmissionSettings,
    seeds: tuple[str, ...] = (),
) -> RouterSettings:
    """Return the settings of one router."""
    return RouterSettings(
        vm=vm,
        data_centre=data_centre,
        callers='127.0.0.1:1',
        operators='127.0.0.1:1',
        operator_token_file=Path('token'),
        platform=PlatformSettings(url='http://127.0.0.1:1'),
        peers=PeerSettings(
            listen='127.0.0.1:1',
            seeds=seeds,
            fleet_key_file=Path('key'),
        ),
        admission=admission,
    )
