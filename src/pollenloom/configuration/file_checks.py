"""Checks that need several service files or the current time."""

from collections.abc import Iterator, Mapping
from datetime import UTC, datetime
from types import MappingProxyType
from typing import Final

from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.validation.file_problem import FileProblem

Services = Mapping[str, ServiceFile]
# The front end handles paths that start with these segments itself, so an
# application with one of these names could not be called.
RESERVED_NAMES: Final = frozenset(('v1', 'healthz', 'readyz'))
NO_DATES: Mapping[ServiceId, datetime] = MappingProxyType({})


def check_services(
    services: Services,
    now: float,
    dates_in_force: Mapping[ServiceId, datetime] = NO_DATES,
) -> list[FileProblem]:
    """Return the problems of files that are valid individually.

    Args:
        services: Service files by file name.
        now: Wall time, seconds since the Unix epoch.
        dates_in_force: Shutdown dates that are already accepted. A service
            that has ended stays in the configuration, so that its requests
            are rejected as ended; its unchanged date remains valid.
    """
    return [
        *check_service_ids(services),
        *check_reserved_names(services),
        *check_key_hashes(services),
        *check_lists(services),
        *check_dates(services, now, dates_in_force),
    ]


def check_service_ids(services: Services) -> Iterator[FileProblem]:
    """Find service ids that more than one file declares."""
    owners: dict[ServiceId, str] = {}
    for file, service in services.items():
        owner = owners.setdefault(service.service, file)
        if owner != file:
            yield FileProblem(
                file,
                'service',
                'an id that no other file has',
                f'{service.service!r}, which is also in {owner}',
            )


def check_reserved_names(services: Services) -> Iterator[FileProblem]:
    """Find services whose id is a reserved path of the front end."""
    for file, service in services.items():
        if service.service in RESERVED_NAMES:
            yield FileProblem(
                file,
                'service',
                'a name other than the paths of the front end'
                f' ({", ".join(sorted(RESERVED_NAMES))})',
                repr(service.service),
            )


def check_key_hashes(services: Services) -> Iterator[FileProblem]:
    """Find API keys that would identify more than one client account."""
    owners: dict[str, tuple[AccountId, str]] = {}
    for file, service in services.items():
        for number, account in enumerate(service.accounts):
            for index, key_hash in enumerate(account.key_hashes):
                owner, owner_file = owners.setdefault(
                    key_hash,
                    (account.name, file),
                )
                if owner != account.name:
                    yield FileProblem(
                        file,
                        f'accounts[{number}].key_hashes[{index}]',
                        f'the hash of a key that only {account.name!r} has',
                        f'the hash of a key that {owner!r} has in {owner_file}',
                    )


def check_lists(services: Services) -> Iterator[FileProblem]:
    """Find versions and data centres that are listed twice."""
    for file, service in services.items():
        lists = (
            ('versions', service.versions),
            ('data_centres', service.data_centres),
        )
        for key, names in lists:
            for index, name in enumerate(names):
                if name in names[:index]:
                    yield FileProblem(
                        file,
                        f'{key}[{index}]',
                        'each name once',
                        f'{name!r} again',
                    )


def check_dates(
    services: Services,
    now: float,
    dates_in_force: Mapping[ServiceId, datetime],
) -> Iterator[FileProblem]:
    """Find past shutdown dates and moves that end after the shutdown."""
    current_time = datetime.fromtimestamp(now, UTC)
    for file, service in services.items():
        date = service.shutdown_date
        in_force = dates_in_force.get(service.service)
        if date <= current_time and date != in_force:
            yield FileProblem(
                file,
                'shutdown_date',
                f'a time after {current_time.isoformat(timespec="seconds")}',
                date.isoformat(),
            )
        if service.move is not None and service.move.finish_by > date:
            yield FileProblem(
                file,
                'move.finish_by',
                f'a time up to the shutdown date {date.isoformat()}',
                service.move.finish_by.isoformat(),
            )
