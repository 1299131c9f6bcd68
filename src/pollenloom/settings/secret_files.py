"""Checks of the files with secrets that a router's settings name."""

from collections.abc import Iterator
from pathlib import Path

from pollenloom.settings.router_settings import RouterSettings
from pollenloom.validation.file_problem import FileProblem

# 128 bits for the fleet key; see `FleetKey` and `BearerToken`.
SHORTEST_KEY = 16
SHORTEST_TOKEN = 8


def check_secret_files(
    settings_file: Path,
    settings: RouterSettings,
) -> Iterator[FileProblem]:
    """Find secrets that cannot be read or are too short to protect."""
    for key, path, shortest in (
        ('operator_token_file', settings.operator_token_file, SHORTEST_TOKEN),
        ('peers.fleet_key_file', settings.peers.fleet_key_file, SHORTEST_KEY),
    ):
        expected = f'a readable file with at least {shortest} bytes'
        try:
            size = len(path.read_bytes().strip())
        except OSError as error:
            found = f'{path}: {error.strerror}'
            yield FileProblem(str(settings_file), key, expected, found)
            continue
        if size < shortest:
            found = f'{path} with {size}'
            yield FileProblem(str(settings_file), key, expected, found)
