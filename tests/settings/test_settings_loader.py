"""Reading and checking of router settings."""

from pathlib import Path

import pytest

from pollenloom.settings.settings_loader import load_settings

SETTINGS = """
vm = 'enschede-1'
data_centre = 'enschede'
callers = '127.0.0.1:8001'
operators = '127.0.0.1:8002'
operator_token_file = 'operator.token'

[platform]
url = 'http://127.0.0.1:7000'

[peers]
listen = '127.0.0.1:8003'
fleet_key_file = '/run/fleet.key'
"""


def write(directory: Path, text: str) -> Path:
    path = directory / 'router.toml'
    path.write_text(text, encoding='utf-8')
    return path


def test_paths_are_relative_to_the_file(tmp_path: Path) -> None:
    """Guards against key files that are looked up in the working directory."""
    settings = load_settings(write(tmp_path, SETTINGS)).model
    assert settings is not None
    assert settings.operator_token_file == tmp_path / 'operator.token'
    assert settings.peers.fleet_key_file == Path('/run/fleet.key')


def test_problems_have_unit_and_range(tmp_path: Path) -> None:
    """Guards against invalid values, and messages that do not help to fix them.

    The value of a secret must not be shown.
    """
    text = SETTINGS.replace(
        '[peers]',
        'timeout_seconds = 0\n[peers]\nfleet_key = "hidden"',
    ).replace("'/run/fleet.key'", '17')
    path = write(tmp_path, text)
    problems = [problem.render() for problem in load_settings(path).problems]
    assert problems == [
        (
            f'{path}: platform.timeout_seconds: expected a number (seconds)'
            ' above 0 and at most 60, found 0'
        ),
        (
            f'{path}: peers.fleet_key_file: expected the path of a file,'
            ' found a value of type int (not shown)'
        ),
        (
            f'{path}: peers.fleet_key: expected one of the keys advertise,'
            ' fleet_key_file, listen, seeds, found an unknown key'
        ),
    ]


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:\u00b2',
        '127.0.0.\u00b2:8003',
        '127.0.0.1:' + '9' * 5000,
        '\u0661.0.0.1:8003',
        '127.0.0.01:8003',
        '127.0.0.1:08003',
    ],
)
def test_odd_digits_are_rejected(tmp_path: Path, address: str) -> None:
    """Guards against digits that the check takes and a socket does not."""
    path = write(tmp_path, SETTINGS.replace('127.0.0.1:8003', address))
    problems = load_settings(path).problems
    assert [problem.key for problem in problems] == ['peers.listen']


def test_unusable_addresses_are_rejected(tmp_path: Path) -> None:
    """Guards against equal addresses for callers and operators.

    Ports out of range and a path that is not a file are problems as well.
    """
    text = SETTINGS.replace('8002', '8001').replace('8003', '80030')
    path = write(tmp_path, text)
    keys = [problem.key for problem in load_settings(path).problems]
    assert keys == ['peers.listen', 'operators']
    assert load_settings(tmp_path).problems[0].found == 'Is a directory'
