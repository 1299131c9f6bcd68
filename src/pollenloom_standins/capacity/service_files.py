"""Service files with a chosen number of client accounts."""

import hashlib
from pathlib import Path
from typing import Final

from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.core.states import Resource

ROUTES: Final = """
[[routes]]
name = 'stock'
path = '/stock/*'
methods = ['GET']
"""


def account_name(number: int) -> AccountId:
    """Return the name of an account."""
    return AccountId(f'account-{number:05}')


def api_key(number: int) -> str:
    """Return the API key of an account."""
    return f'capacity-key-{number}'


def account_text(number: int) -> str:
    """Return the entry of one account."""
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
    """Return the file of one service."""
    names = ', '.join(f"'{name}'" for name in data_centres)
    head = (
        f"service = '{service}'\n"
        f"resource = '{resource.value}'\n"
        'shutdown_date = 2039-12-31T23:59:59+01:00\n'
        f'data_centres = [{names}]\n'
        "versions = ['v1']\n"
    )
    routes = ROUTES if resource is Resource.APPLICATION else ''
    return head + routes + ''.join(map(account_text, range(accounts)))


def write_service(directory: Path, service: ServiceId, text: str) -> None:
    """Write the file of a service where `publish` finds it."""
    target = directory / service
    target.mkdir(parents=True, exist_ok=True)
    (target / 'pollenloom.toml').write_text(text)
