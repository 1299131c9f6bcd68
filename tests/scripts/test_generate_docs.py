"""Tests that the generated pages agree with the code."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_pages_are_up_to_date() -> None:
    """Guards against pages that describe an earlier state of the code.

    A changed setting, error or event needs the pages generated again.
    """
    script = ROOT / 'scripts' / 'generate_docs.py'
    process = subprocess.run(
        [sys.executable, str(script), '--check'],
        env={'PYTHONPATH': str(ROOT / 'src')},
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 0, process.stdout + process.stderr
