"""Runs pytest and behave and prints one summary line for both.

Tests listed in KNOWN-RED.txt are not run; their ids are printed.
"""

import re
import subprocess
import sys
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
KNOWN_RED: Final = ROOT / 'KNOWN-RED.txt'
SCENARIOS: Final = ROOT / 'features'
NO_TESTS_COLLECTED: Final = 5
SUMMARY: Final = re.compile(r'(\d+) (passed|failed|error(?:s)?)\b')
BEHAVE_SUMMARY: Final = re.compile(
    r'^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?',
    re.MULTILINE,
)


def known_red() -> list[str]:
    """Return the pytest ids of KNOWN-RED.txt, one for each `test:` line."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    ]


def run_command(command: list[str]) -> tuple[int, str]:
    """Run a command, print its output; return its exit code and output."""
    process = subprocess.run(
        command,
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        check=False,
    )
    sys.stdout.write(process.stdout)
    sys.stdout.flush()
    return process.returncode, process.stdout


def run_pytest(arguments: list[str]) -> tuple[int, int]:
    """Return the numbers of passed and failed tests.

    Errors count as failures, as does a failed run that reports none.
    """
    deselected = [f'--deselect={name}' for name in known_red()]
    code, output = run_command(
        [
            sys.executable,
            '-m',
            'pytest',
            '-W',
            'ignore::DeprecationWarning',
            *deselected,
            *arguments,
        ]
    )
    counts = {'passed': 0, 'failed': 0}
    for line in output.splitlines()[-1:]:
        for number, word in SUMMARY.findall(line):
            key = 'passed' if word == 'passed' else 'failed'
            counts[key] += int(number)
    if code not in {0, NO_TESTS_COLLECTED} and not counts['failed']:
        counts['failed'] = 1
    return counts['passed'], counts['failed']


def run_behave() -> tuple[int, int]:
    """Return the numbers of passed and failed scenarios.

    Output without a summary counts as one failure.
    """
    if not list(SCENARIOS.glob('*.feature')):
        return 0, 0
    code, output = run_command(
        [
            sys.executable,
            '-m',
            'behave',
            '--format=progress',
            '--no-capture',
            str(SCENARIOS),
        ]
    )
    match = BEHAVE_SUMMARY.search(output)
    if match is None:
        return 0, 1
    passed, failed = int(match[1]), int(match[2]) + int(match[3] or 0)
    if code and not failed:
        failed = 1
    return passed, failed


def main() -> int:
    """Run the tests, and the scenarios if there are no arguments.

    Return 0 if something passed and nothing failed, otherwise 1.
    """
    arguments = sys.argv[1:]
    passed, failed = run_pytest(arguments)
    if not arguments:
        scenarios_passed, scenarios_failed = run_behave()
        passed += scenarios_passed
        failed += scenarios_failed
    for name in known_red():
        sys.stdout.write(f'known red, not run: {name}\n')
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
