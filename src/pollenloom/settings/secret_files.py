"""Checks of the secret files that a router's settings refer to."""

from collections.abc import Iterator
from pathlib import Path

from pollenloom.settings.router_settings import RouterSettings
from pollenloom.validation.file_problem import FileProblem

# 128 bits for the fleet key; see `FleetKey` and `BearerToken`.
MIN_FLEET_KEY_BYTES = 16
MIN_OPERATOR_TOKEN_BYTES = 8


def check_secret_files(
    settings_file: Path,
    settings: RouterSettings,
) -> Iterator[FileProblem]:
    """Yield the problems of secrets that are unreadable or too short."""
    for key, path, min_bytes in (
        (
            'operator_token_file',
            settings.operator_token_file,
            MIN_OPERATOR_TOKEN_BYTES,
        ),
        (
            'peers.fleet_key_file',
            settings.peers.fleet_key_file,
            MIN_FLEET_KEY_BYTES,
        ),
    ):
        expected = f'a readable file with at least {min_bytes} bytes'
        try:
            size = len(path.read_bytes().strip())
        except OSError as error:
            found = f'{path}: {error.strerror}'
            yield FileProblem(str(settings_file), key, expected, found)
            continue
        if size < min_bytes:
            found = f'{path} with {size}'
            yield FileProblem(str(settings_file), key, expected, found)
