"""One problem of a settings or service file."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass

KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True, order=True)
class FileProblem:
    """A problem at one location of a file.

    Attributes:
        file: Name of the file.
        key: Path of the key, such as `accounts[2].share`; empty for the whole
            file.
        expected: Expected value, with type, unit and range.
        found: Value in the file; not shown if it may be a secret.
    """

    file: str
    key: str
    expected: str
    found: str

    def render(self) -> str:
        """Return the problem as one line."""
        location = f'{self.file}: {self.key}' if self.key else self.file
        return f'{location}: expected {self.expected}, found {self.found}'

    def to_json(self) -> dict[str, str]:
        """Return the problem as JSON types."""
        return asdict(self)


def render_key(path: Sequence[str | int]) -> str:
    """Return a key path as text; list indexes start at 0."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text = f'{text}[{part}]'
        else:
            text = f'{text}.{part}' if text else part
    return text


def render_problems(problems: Sequence[FileProblem]) -> str:
    """Return problems as text, one per line."""
    return '\n'.join(problem.render() for problem in problems)
