"""Output, messages and exit codes of the operators' commands."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from pollenloom.__main__ import main
from pollenloom.console.exit_code import ExitCode
from pollenloom.core.ids import VmId
from pollenloom.core.states import DataCentreState
from tests.console.command_line import run
from tests.operations.fakes import HENGELO, FakeFleetState
from tests.operations.fleet_fixtures import TOKEN, OperatorRouter

# The discard port of the loopback address: nothing listens there.
DEAD_ADDRESS = '127.0.0.1:9'
Routers = list[OperatorRouter]
Command = Callable[..., Any]


@pytest.fixture(autouse=True)
def set_terminal_width(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep messages with long paths on one line."""
    monkeypatch.setenv('COLUMNS', '400')


@pytest.fixture
def operator_token(tmp_path: Path) -> Path:
    path = tmp_path / 'token'
    path.write_text(f'{TOKEN}\n', encoding='utf-8')
    return path


@pytest.fixture
def command(routers: Routers, operator_token: Path) -> Command:
    """Return a function that runs a command against the fleet.

    The command runs in its own thread, since it starts an event loop.
    """
    address = routers[0].operations.address

    async def start(*arguments: str, operator: str = address) -> int:
        options = ('--operator', operator, '--token-file', str(operator_token))
        return await asyncio.to_thread(run, *arguments, *options)

    return start


async def test_status_as_text_and_json(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a status that omits a part of the fleet."""
    assert await command('status') == 0
    shown = capsys.readouterr().out
    parts = ('operator-1', 'vm-3', 'almelo', 'server-1', 'striker-club')
    assert [part for part in parts if part not in shown] == []
    assert 'taken_back' in shown
    assert await command('status', '--json') == 0
    assert json.loads(capsys.readouterr().out)['waiting'] == 6


async def test_next_address_is_tried(
    command: Command,
    routers: Routers,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against commands that fail because one router is down."""
    further = ('--operator', routers[1].operations.address)
    code = await command('status', '--json', *further, operator=DEAD_ADDRESS)
    assert code == 0
    assert json.loads(capsys.readouterr().out)['asked'] == 'vm-2'


async def test_unreachable_fleet_prints_advice(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a traceback instead of advice when no router responds."""
    code = await command('status', operator=DEAD_ADDRESS)
    assert code == ExitCode.UNREACHABLE
    message = capsys.readouterr().err
    assert DEAD_ADDRESS in message
    assert '--operator' in message


async def test_invalid_token_prints_advice(
    command: Command,
    operator_token: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a rejected token without advice, or printed in full."""
    operator_token.write_text('another-token', encoding='utf-8')
    assert await command('status') == ExitCode.REFUSED
    message = capsys.readouterr().err
    assert 'operator_token_file' in message
    assert 'another-token' not in message


async def test_partial_drain_names_missing_routers(
    command: Command,
    routers: Routers,
    fleet: FakeFleetState,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a partial drain that is reported as complete (R4)."""
    fleet.unresponsive.add(VmId('vm-3'))
    assert await command('drain', 'hengelo') == ExitCode.INCOMPLETE
    output = capsys.readouterr()
    assert 'hengelo is out of service on 2 of 3 routers.' in output.out
    assert 'vm-3' in output.err
    fleet.unresponsive.clear()
    assert await command('restore', 'hengelo', '--json') == 0
    assert json.loads(capsys.readouterr().out)['routers_with_state'] == 3
    state = routers[2].configuration.data_centre_state(HENGELO)
    assert state is DataCentreState.IN_SERVICE


async def test_explain_shows_the_reason(
    command: Command,
    routers: Routers,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an explanation without the reason of an event."""
    routers[2].events.record(
        'request_refused',
        'request-1',
        reason='queue full',
        waiting=64,
    )
    assert await command('explain', 'request-1') == 0
    shown = capsys.readouterr().out
    parts = ('vm-3', 'request_refused', 'queue full', 'waiting=64')
    assert [part for part in parts if part not in shown] == []
    assert await command('explain', 'minutes-v2') == 0
    assert 'is taken_back' in capsys.readouterr().out
    assert await command('explain', 'unknown-id') == ExitCode.NOT_FOUND
    assert "'unknown-id'" in capsys.readouterr().err


async def test_unknown_data_centre_is_printed_literally(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against ids that are read as a URL path or as markup."""
    assert await command('drain', '[b]a/b[/b]') == ExitCode.REFUSED
    assert "no data centre named '[b]a/b[/b]'" in capsys.readouterr().err


async def test_move_state(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a move whose final state is not shown."""
    assert await command('move', 'minutes-v2', '--json') == 0
    move = json.loads(capsys.readouterr().out)[0]
    assert move['state'] == 'taken_back'
    assert await command('move', 'minutes-v3') == ExitCode.NOT_FOUND
    assert 'Known moves: minutes-v2' in capsys.readouterr().err


@pytest.mark.parametrize(
    'name',
    ['drain', 'explain', 'move', 'restore', 'router', 'status'],
)
def test_help(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a command without help."""
    assert run(name, '--help') == 0
    assert 'usage' in capsys.readouterr().out.lower()


def test_help_lists_all_exit_codes(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an exit code that the help does not document."""
    with pytest.raises(SystemExit):
        main(['--help'])
    shown = ' '.join(capsys.readouterr().out.split())
    assert [code for code in ExitCode if f' {code.value} ' not in shown] == []


def test_invalid_settings_are_listed(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a router that starts with incomplete settings."""
    path = tmp_path / 'router.toml'
    path.write_text('vm = "VM 1"\n', encoding='utf-8')
    assert run('router', '--settings', str(path)) == ExitCode.INVALID_FILE
    message = capsys.readouterr().err
    assert 'data_centre: expected' in message
    assert 'vm: expected' in message


def test_missing_secrets_are_listed_by_key(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a traceback for a missing or short secret file."""
    root = Path(__file__).resolve().parents[2]
    example = (root / 'examples/xelaju/router.toml').read_text('utf-8')
    path = tmp_path / 'router.toml'
    path.write_text(example, encoding='utf-8')
    (tmp_path / 'fleet.key').write_text('short', encoding='utf-8')
    assert run('router', '--settings', str(path)) == ExitCode.INVALID_FILE
    message = ' '.join(capsys.readouterr().err.split())
    assert 'operator_token_file: expected a readable file' in message
    assert 'peers.fleet_key_file: expected a readable file' in message
