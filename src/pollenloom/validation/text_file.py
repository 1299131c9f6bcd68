"""Reading of UTF-8 text files."""

from typing import TYPE_CHECKING

from pollenloom.validation.file_problem import FileProblem

if TYPE_CHECKING:
    from pathlib import Path


def read_text(path: 'Path', name: str) -> tuple[str, FileProblem | None]:
    """Return the text of a file, or why it could not be read.

    `name` is the name of the file in the problem. The text is empty if there
    is a problem.
    """
    try:
        return path.read_text(encoding='utf-8'), None
    except UnicodeDecodeError as error:
        found = f'byte {error.object[error.start]:#04x} at {error.start}'
        return '', FileProblem(name, '', 'UTF-8 text', found)
    except OSError as error:
        found = str(error.strerror)
        return '', FileProblem(name, '', 'a readable file', found)
