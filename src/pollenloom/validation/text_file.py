"""Reads a text file."""

from typing import TYPE_CHECKING

from pollenloom.validation.file_problem import FileProblem

if TYPE_CHECKING:
    from pathlib import Path


def read_text(path: 'Path', name: str) -> tuple[str, FileProblem | None]:
    """Return the text of a file, or the problem that kept it unread."""
    try:
        return path.read_text(encoding='utf-8'), None
    except UnicodeDecodeError as error:
        found = f'byte {error.object[error.start]:#04x} at {error.start}'
        return '', FileProblem(name, '', 'UTF-8 text', found)
    except OSError as error:
        found = str(error.strerror)
        return '', FileProblem(name, '', 'a readable file', found)
