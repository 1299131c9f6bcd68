"""The demonstration, as a new user runs it."""

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_SECONDS = 180


def test_demonstration_checks_every_response() -> None:
    """Guards against a fleet that does not serve from end to end."""
    process = subprocess.run(
        [sys.executable, '-m', 'pollenloom_standins', 'demo'],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    assert process.returncode == 0, process.stdout + process.stderr
    assert process.stdout.endswith('done: every answer was checked\n')


def test_kept_fleet_stops_on_ctrl_c(tmp_path: Path) -> None:
    """Guards against children that get a signal twice or keep running."""
    command = [sys.executable, '-m', 'pollenloom_standins', 'demo', '--keep']
    with subprocess.Popen(
        [*command, '--output', str(tmp_path)],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        # A terminal sends Ctrl-C to the whole process group.
        process_group=0,
    ) as process:
        assert process.stdout is not None
        lines = []
        for line in process.stdout:
            lines.append(line)
            if 'press Ctrl-C' in line:
                break
        os.killpg(process.pid, signal.SIGINT)
        _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
    assert process.returncode == 0, errors
    assert not errors
    text = ''.join(lines)
    token_file = tmp_path / 'operator.token'
    assert f'POLLENLOOM_TOKEN_FILE={token_file}' in text
    assert token_file.read_text(encoding='utf-8')
    assert 'POLLENLOOM_OPERATORS=127.' in text
