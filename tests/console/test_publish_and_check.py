"""Exit codes and output of `publish` and `check`."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest

from pollenloom.__main__ import main
from pollenloom.console.commands import publish_command
from pollenloom.console.exit_code import ExitCode
from pollenloom.kernel.clock import Clock
from pollenloom.log_service.platform import Platform
from pollenloom.settings.router_settings import PlatformSettings
from tests.configuration.service_texts import service_text
from tests.fakes.memory_platform import AppendFault, MemoryPlatform

PUBLISH = ('publish', '--platform', 'http://127.0.0.1:1', '--publisher')


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    write(tmp_path, '1')
    return tmp_path


@pytest.fixture
def platform(monkeypatch: pytest.MonkeyPatch) -> MemoryPlatform:
    memory = MemoryPlatform(Clock())

    @asynccontextmanager
    async def open_memory(_: PlatformSettings) -> AsyncGenerator[Platform]:
        yield memory

    monkeypatch.setattr(publish_command, 'open_platform', open_memory)
    return memory


def write(directory: Path, share: str) -> None:
    (directory / 'pollenloom.toml').write_text(service_text(share=share))


def test_check(directory: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a check that accepts invalid files or hides problems."""
    assert main(['check', str(directory)]) == ExitCode.OK
    write(directory, '-1')
    capsys.readouterr()
    code = main(['check', '--json', str(directory)])
    assert code == ExitCode.INVALID_FILE
    result = msgspec.json.decode(capsys.readouterr().out)
    assert result['problems'][0]['key'] == 'accounts[0].share'


def test_usage(directory: Path) -> None:
    """Guards against usage errors that exit with another code."""
    for arguments in (
        ['check'],
        ['publish', '--publisher', 'ann', str(directory)],
        [*PUBLISH, 'ann'],
        ['publish', '--platform', 'x', '--publisher', 'ann', str(directory)],
    ):
        with pytest.raises(SystemExit) as stopped:
            main(arguments)
        assert stopped.value.code == ExitCode.USAGE


def test_publish(
    directory: Path,
    platform: MemoryPlatform,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a publish outcome with an unexpected exit code."""
    arguments = [*PUBLISH, 'ann', str(directory)]
    assert main(arguments) == ExitCode.OK
    assert 'published revision 1' in capsys.readouterr().out
    assert main(arguments) == ExitCode.OK
    assert 'revision 1 by ann' in capsys.readouterr().out
    write(directory, '2')
    assert main([*arguments, '--base', '0']) == ExitCode.LOST
    assert 'revision 1 by ann is in force' in capsys.readouterr().err
    platform.down = True
    code = main([*arguments, '--timeout', '0.2', '--json'])
    assert code == ExitCode.PLATFORM
    result = msgspec.json.decode(capsys.readouterr().out)
    assert result['state'] == 'platform_unavailable'
    platform.down = False
    platform.faults.append(AppendFault.LOST_AFTER)
    assert main(arguments) == ExitCode.OK
