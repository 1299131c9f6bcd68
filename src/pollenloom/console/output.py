"""Output of the commands: results to stdout, problems to stderr."""

import sys
from collections.abc import Sequence
from typing import Any

import msgspec

from pollenloom.validation.file_problem import FileProblem


def write_json(fields: dict[str, Any]) -> None:
    """Write a result as one JSON object on one line."""
    write_line(msgspec.json.encode(fields).decode())


def write_line(text: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write one line to standard error."""
    sys.stderr.write(f'{text}\n')


def write_problems(
    problems: Sequence[FileProblem],
    label: str = 'error',
) -> None:
    """Write problems to standard error, one per line."""
    for problem in problems:
        write_error(f'{label}: {problem.render()}')
