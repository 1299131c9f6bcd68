"""The demonstration, as a new user runs it."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LONGEST_RUN_SECONDS = 180


def test_demonstration_checks_every_answer() -> None:
    """Guards against a fleet that does not serve from end to end."""
    process = subprocess.run(
        [sys.executable, '-m', 'pollenloom_standins', 'demo'],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        capture_output=True,
        text=True,
        timeout=LONGEST_RUN_SECONDS,
        check=False,
    )
    assert process.returncode == 0, process.stdout + process.stderr
    assert process.stdout.endswith('done: every answer was checked\n')
