"""Generates service files with a given number of client accounts."""

import hashlib
from pathlib import Path
from typing import Final

from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.core.states import Resource

APPLICATION_ROUTES: Final = """
[[routes]]
name = 'stock'
path = '/stock/*'
methods = ['GET']
"""


def account_name(number: int) -> AccountId:
    """Return the name of the account with a number."""
    return AccountId(f'account-{number:05}')


def api_key(number: int) -> str:
    """Return the API key of the account with a number."""
    return f'capacity-key-{number}'


def account_text(number: int) -> str:
    """Return the TOML table of an account."""
    key_hash = hashlib.sha256(api_key(number).encode()).hexdigest()
    return (
        '[[accounts]]\n'
        f"name = '{account_name(number)}'\n"
        f'share = {1 + number % 8}\n'
        f"key_hashes = ['{key_hash}']\n"
    )


def service_text(
    service: ServiceId,
    resource: Resource,
    accounts: int,
    data_centres: tuple[str, ...],
) -> str:
    """Return the TOML text of a service file.

    Args:
        service: Id of the service.
        resource: Kind of the service; only an application has a route.
        accounts: Number of client accounts.
        data_centres: Data centres of the service.
    """
    names = ', '.join(f"'{name}'" for name in data_centres)
    header = (
        f"service = '{service}'\n"
        f"resource = '{resource.value}'\n"
        'shutdown_date = 2039-12-31T23:59:59+01:00\n'
        f'data_centres = [{names}]\n'
        "versions = ['v1']\n"
    )
    routes = APPLICATION_ROUTES if resource is Resource.APPLICATION else ''
    return header + routes + ''.join(map(account_text, range(accounts)))


def write_service(directory: Path, service: ServiceId, text: str) -> None:
    """Write a service file where `pollenloom publish` finds it.

    Args:
        directory: Directory of all services.
        service: Id of the service, the name of its directory.
        text: Content of the file.
    """
    target = directory / service
    target.mkdir(parents=True, exist_ok=True)
    (target / 'pollenloom.toml').write_text(text)
