"""Life cycle of a router process: start, signals, shutdown."""

import json
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from pollenloom.console.exit_code import ExitCode
from tests.runtime_limits import assert_within_runtime_limits

Started = subprocess.Popen[str]
StartProcess = Callable[[str, float], Started]
LogLines = dict[str, dict[str, Any]]
TIMEOUT_SECONDS = 60


@pytest.fixture
def run_process() -> Iterator[StartProcess]:
    started: list[Started] = []

    def start(mode: str, shutdown_seconds: float) -> Started:
        command = [sys.executable, '-m', 'tests.console.waiting_router']
        process = subprocess.Popen(
            [*command, mode, str(shutdown_seconds)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        started.append(process)
        return process

    yield start
    for process in started:
        process.kill()
        process.communicate()


def ready_line(process: Started) -> dict[str, Any]:
    assert process.stdout is not None
    ready: dict[str, Any] = json.loads(process.stdout.readline())['ready']
    return ready


def end(process: Started) -> tuple[int, LogLines]:
    """Return the exit code and the last log line of each event."""
    _, log = process.communicate(timeout=TIMEOUT_SECONDS)
    lines = [json.loads(line) for line in log.splitlines()]
    return process.returncode, {line['event']: line for line in lines}


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_signal_drains_then_stops(
    run_process: StartProcess,
    number: signal.Signals,
) -> None:
    """Guards against requests that are cut by a planned shutdown (R10)."""
    process = run_process('quick', 30)
    assert ready_line(process)['callers'] == '127.0.0.1:4242'
    assert_within_runtime_limits(process.pid)
    process.send_signal(number)
    code, events = end(process)
    assert code == ExitCode.OK
    assert list(events) == [
        'router_ready',
        'router_stopping',
        'drain_began',
        'frontend_stopped',
        'router_stopped',
    ]
    message = events['drain_began']['fields']['message']
    assert message == 'in phase draining'


def test_shutdown_is_bounded(
    run_process: StartProcess,
) -> None:
    """Guards against a request that blocks the shutdown of a router."""
    process = run_process('stuck', 0.5)
    ready_line(process)
    process.terminate()
    code, events = end(process)
    assert code == ExitCode.SHUTDOWN_INCOMPLETE
    assert 'frontend_stopped' in events


def test_second_signal_exits_immediately(
    run_process: StartProcess,
) -> None:
    """Guards against an operator who cannot end a stuck shutdown."""
    process = run_process('stuck', 3600)
    ready_line(process)
    process.terminate()
    assert process.stderr is not None
    while 'drain_began' not in process.stderr.readline():
        assert process.poll() is None
    process.terminate()
    code, events = end(process)
    assert code == ExitCode.SECOND_SIGNAL
    assert 'frontend_stopped' not in events


def test_failed_start_is_logged(
    run_process: StartProcess,
) -> None:
    """Guards against a router that runs without one of its services."""
    code, events = end(run_process('broken', 1))
    assert code == ExitCode.START_FAILED
    assert events['router_start_failed']['fields']['error'] == 'address in use'


def test_signal_ends_a_blocked_start(run_process: StartProcess) -> None:
    """Guards against a router that cannot be stopped before it is ready."""
    process = run_process('waiting', 30)
    assert process.stderr is not None
    assert 'start_began' in process.stderr.readline()
    process.terminate()
    code, events = end(process)
    assert code == ExitCode.OK
    assert 'router_ready' not in events
