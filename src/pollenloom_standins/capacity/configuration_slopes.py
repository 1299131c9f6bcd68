"""Costs of the configuration by the number of client accounts."""

from typing import Final

from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.configuration_register import (
    decode_snapshot,
    encode_snapshot,
)
from pollenloom.configuration.file_loader import (
    FILE_CACHE,
    load_accepted,
    load_services,
)
from pollenloom.configuration.log_entries import ConfigurationSnapshot
from pollenloom.core.ids import Offset, PublishId, Revision, ServiceId
from pollenloom.core.states import Resource
from pollenloom.core.units import MILLISECONDS
from pollenloom.membership.register_value import RegisterValue
from pollenloom_standins.capacity.service_files import service_text
from pollenloom_standins.capacity.slope_table import (
    REPEATS,
    SlopeTable,
    least_seconds,
    memory_of,
)

SERVICES: Final = 5
DATA_CENTRES: Final = ('dc-1', 'dc-2', 'dc-3', 'dc-4', 'dc-5')
ACCOUNTS: Final = (160, 650, 2600)
KIBIBYTE: Final = 1024
# Before the shutdown dates of the files.
PRESENT: Final = 1.8e9


def measure_configuration() -> SlopeTable:
    """Measure each number of accounts, each listed by all services."""
    table = SlopeTable(
        f'configuration, {SERVICES} services list all accounts',
        'accounts',
    )
    for accounts in ACCOUNTS:
        table.rows[accounts] = measure_accounts(accounts)
    return table


def measure_accounts(accounts: int) -> dict[str, float]:
    """Measure one number of accounts."""
    files = make_files(accounts)
    FILE_CACHE.clear()
    held, held_bytes = memory_of(
        lambda: Configuration(Revision(1), load_accepted(files)),
    )
    snapshot = make_snapshot(files)
    register = encode_snapshot(snapshot)
    # Each run must meet a text that it has not parsed before.
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
        'memory KiB': held_bytes / KIBIBYTE,
        'text KiB': sum(map(len, files.values())) / KIBIBYTE,
        'register KiB': len(register.payload) / KIBIBYTE,
        'apply change of one file ms': MILLISECONDS
        * least_seconds(lambda: apply_change(next(registers))),
        'validate all files ms': MILLISECONDS
        * least_seconds(lambda: validate_cold(files)),
        'encode register ms': MILLISECONDS
        * least_seconds(lambda: encode_snapshot(snapshot)),
    }
    if len(held.services) != SERVICES:
        raise ValueError('the files are not valid')
    return figures


def make_files(accounts: int) -> dict[str, str]:
    """Return the texts of all services."""
    return {
        f'service-{number}': service_text(
            ServiceId(f'service-{number}'),
            Resource.MODEL,
            accounts,
            DATA_CENTRES,
        )
        for number in range(SERVICES)
    }


def make_snapshot(files: dict[str, str]) -> ConfigurationSnapshot:
    """Return the record that registers carry."""
    return ConfigurationSnapshot(
        revision=Revision(1),
        publish_id=PublishId('capacity'),
        publisher='capacity',
        files=files,
        position=Offset(1),
    )


def validate_cold(files: dict[str, str]) -> None:
    """Check all files as a router does that has just started."""
    FILE_CACHE.clear()
    load_services(files, PRESENT)


def apply_change(register: RegisterValue) -> None:
    """Decode a register and index it; one of its files is new."""
    snapshot = decode_snapshot(register)
    Configuration(snapshot.revision, load_accepted(snapshot.files))
