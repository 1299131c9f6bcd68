"""Costs of the configuration by the number of client accounts."""

from typing import Final

from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.configuration_register import (
    decode_snapshot,
    encode_snapshot,
)
from pollenloom.configuration.file_loader import (
    FILE_CACHE,
    load_accepted_services,
    load_services,
)
from pollenloom.configuration.log_entries import ConfigurationSnapshot
from pollenloom.core.ids import Offset, PublishId, Revision, ServiceId
from pollenloom.core.states import Resource
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.membership.register_value import RegisterValue
from pollenloom_standins.capacity.service_files import service_text
from pollenloom_standins.capacity.slope_table import (
    REPEATS,
    SlopeTable,
    measure_memory,
    minimum_seconds,
)

SERVICE_COUNT: Final = 5
DATA_CENTRES: Final = ('dc-1', 'dc-2', 'dc-3', 'dc-4', 'dc-5')
ACCOUNT_COUNTS: Final = (160, 650, 2600)
KIBIBYTE: Final = 1024
# Time of the validation, before the shutdown date in the service files.
NOW_UNIX_SECONDS: Final = 1.8e9


def measure_configuration() -> SlopeTable:
    """Measure each number of accounts; every service lists all of them."""
    table = SlopeTable(
        f'configuration, {SERVICE_COUNT} services list all accounts',
        'accounts',
    )
    for accounts in ACCOUNT_COUNTS:
        table.rows[accounts] = measure_accounts(accounts)
    return table


def measure_accounts(accounts: int) -> dict[str, float]:
    """Measure the configuration with a number of accounts.

    Returns the figures by name; the unit is part of the name.

    Raises:
        ValueError: If a generated service file is not valid.
    """
    files = make_files(accounts)
    FILE_CACHE.clear()
    configuration, memory_bytes = measure_memory(
        lambda: Configuration(Revision(1), load_accepted_services(files)),
    )
    snapshot = make_snapshot(files)
    register = encode_snapshot(snapshot)
    # Each run gets a text that is not yet in the cache of parsed files.
    registers = iter(
        [
            encode_snapshot(
                make_snapshot(
                    {**files, 'service-0': files['service-0'] + '\n' * lines},
                ),
            )
            for lines in range(1, REPEATS + 1)
        ],
    )
    figures = {
        'memory KiB': memory_bytes / KIBIBYTE,
        'text KiB': sum(map(len, files.values())) / KIBIBYTE,
        'register KiB': len(register.payload) / KIBIBYTE,
        'apply change of one file ms': MILLISECONDS_PER_SECOND
        * minimum_seconds(lambda: apply_change(next(registers))),
        'validate all files ms': MILLISECONDS_PER_SECOND
        * minimum_seconds(lambda: validate_cold(files)),
        'encode register ms': MILLISECONDS_PER_SECOND
        * minimum_seconds(lambda: encode_snapshot(snapshot)),
    }
    if len(configuration.services) != SERVICE_COUNT:
        raise ValueError('generated service files are not valid')
    return figures


def make_files(accounts: int) -> dict[str, str]:
    """Return the service file texts by file name."""
    return {
        f'service-{number}': service_text(
            ServiceId(f'service-{number}'),
            Resource.MODEL,
            accounts,
            DATA_CENTRES,
        )
        for number in range(SERVICE_COUNT)
    }


def make_snapshot(files: dict[str, str]) -> ConfigurationSnapshot:
    """Return a configuration snapshot with these files."""
    return ConfigurationSnapshot(
        revision=Revision(1),
        publish_id=PublishId('capacity'),
        publisher='capacity',
        files=files,
        position=Offset(1),
    )


def validate_cold(files: dict[str, str]) -> None:
    """Validate all files with an empty cache, as after a router's start."""
    FILE_CACHE.clear()
    load_services(files, NOW_UNIX_SECONDS)


def apply_change(register: RegisterValue) -> None:
    """Decode a register with one changed file and build a configuration."""
    snapshot = decode_snapshot(register)
    Configuration(snapshot.revision, load_accepted_services(snapshot.files))
