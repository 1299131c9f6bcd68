"""Failures of the operators' commands."""

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
def wide_terminal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep messages with long paths on one line."""
    monkeypatch.setenv('COLUMNS', '400')


@pytest.fixture
def operator_token(tmp_path: Path) -> Path:
    path = tmp_path / 'token'
    path.write_text(f'{TOKEN}\n', encoding='utf-8')
    return path


@pytest.fixture
def command(routers: Routers, operator_token: Path) -> Command:
    """Run a command against the fleet in a thread of its own."""
    address = routers[0].operations.address

    async def start(*arguments: str, operator: str = address) -> int:
        options = ('--operator', operator, '--token-file', str(operator_token))
        return await asyncio.to_thread(run, *arguments, *options)

    return start


async def test_status_for_people_and_programs(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a status that leaves out a part of the fleet."""
    assert await command('status') == 0
    shown = capsys.readouterr().out
    parts = ('operator-1', 'vm-3', 'almelo', 'server-1', 'striker-club')
    assert [part for part in parts if part not in shown] == []
    assert 'taken_back' in shown
    assert await command('status', '--json') == 0
    assert json.loads(capsys.readouterr().out)['waiting'] == 6


async def test_next_address_is_asked(
    command: Command,
    routers: Routers,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against commands that fail since one router is down."""
    further = ('--operator', routers[1].operations.address)
    code = await command('status', '--json', *further, operator=DEAD_ADDRESS)
    assert code == 0
    assert json.loads(capsys.readouterr().out)['asked'] == 'vm-2'


async def test_unreachable_fleet_says_what_to_do(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a stack trace as the only help."""
    code = await command('status', operator=DEAD_ADDRESS)
    assert code == ExitCode.UNREACHABLE
    told = capsys.readouterr().err
    assert DEAD_ADDRESS in told
    assert '--operator' in told


async def test_wrong_token_says_what_to_do(
    command: Command,
    operator_token: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a refusal that does not name its remedy."""
    operator_token.write_text('another-token', encoding='utf-8')
    assert await command('status') == ExitCode.REFUSED
    told = capsys.readouterr().err
    assert 'operator_token_file' in told
    assert 'another-token' not in told


async def test_drain_tells_which_routers_lack_it(
    command: Command,
    routers: Routers,
    fleet: FakeFleetState,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an operator who takes a partial drain for done (R4)."""
    fleet.silent.add(VmId('vm-3'))
    assert await command('drain', 'hengelo') == ExitCode.INCOMPLETE
    output = capsys.readouterr()
    assert 'hengelo is out of service on 2 of 3 routers.' in output.out
    assert 'vm-3' in output.err
    fleet.silent.clear()
    assert await command('restore', 'hengelo', '--json') == 0
    assert json.loads(capsys.readouterr().out)['routers_with_state'] == 3
    state = routers[2].configuration.data_centre_state(HENGELO)
    assert state is DataCentreState.IN_SERVICE


async def test_explain_tells_the_reason(
    command: Command,
    routers: Routers,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an explanation without the why."""
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


async def test_unknown_data_centre_is_told_as_typed(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against ids read as a path or as markup of the terminal."""
    assert await command('drain', '[b]a/b[/b]') == ExitCode.REFUSED
    assert "no data centre named '[b]a/b[/b]'" in capsys.readouterr().err


async def test_move_state(
    command: Command,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a move whose end nobody is told."""
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
    """Guards against a script that has to guess what a code means."""
    with pytest.raises(SystemExit):
        main(['--help'])
    shown = ' '.join(capsys.readouterr().out.split())
    assert [code for code in ExitCode if f' {code.value} ' not in shown] == []


def test_invalid_settings_are_told(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a router that starts with half of its settings."""
    path = tmp_path / 'router.toml'
    path.write_text('vm = "VM 1"\n', encoding='utf-8')
    assert run('router', '--settings', str(path)) == ExitCode.INVALID_FILE
    told = capsys.readouterr().err
    assert 'data_centre: expected' in told
    assert 'vm: expected' in told


def test_missing_secrets_are_told_by_their_key(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a stack trace for a key file that is not there."""
    root = Path(__file__).resolve().parents[2]
    example = (root / 'examples/xelaju/router.toml').read_text('utf-8')
    path = tmp_path / 'router.toml'
    path.write_text(example, encoding='utf-8')
    (tmp_path / 'fleet.key').write_text('short', encoding='utf-8')
    assert run('router', '--settings', str(path)) == ExitCode.INVALID_FILE
    told = ' '.join(capsys.readouterr().err.split())
    assert 'operator_token_file: expected a readable file' in told
    assert 'peers.fleet_key_file: expected a readable file' in told
