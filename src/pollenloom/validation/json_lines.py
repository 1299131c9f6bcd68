"""Lines of a JSON text on which its values begin."""

import json
import re
from typing import Final

from pollenloom.validation.file_problem import KeyPath, render_key

SPACE: Final = re.compile(r'[ \t\r\n]*')
STRING: Final = re.compile(r'"(?:[^"\\]|\\.)*"')
SCALAR: Final = re.compile(r'[^\s,\]}]*')


def find_lines(text: str) -> 'JsonLines | None':
    """Return the lines of a text; None if it is not valid JSON."""
    try:
        json.loads(text)
        return JsonLines(text)
    except (ValueError, RecursionError):
        return None


def syntax_error_line(text: str) -> int:
    """Return the line on which a text stops to be JSON, 1 if unknown."""
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        return error.lineno
    except (ValueError, RecursionError):
        return 1
    return 1


class JsonLines:
    """Finds the line of each value of a valid JSON text.

    Attributes:
        text: The text.
        position: Place of the next character to read.
        lines: Line of each value, by its path; the first line is 1.
    """

    def __init__(self, text: str) -> None:
        self.text = text
        self.position = 0
        self.lines: dict[str, int] = {}
        self.counted_to = 0
        self.line = 1
        self.read_value(())

    def line_of(self, path: str) -> int:
        """Return the line of a value, or of the nearest one around it."""
        while path and path not in self.lines:
            path = path[: max(path.rfind('.'), path.rfind('['), 0)]
        return self.lines.get(path, 1)

    def next_character(self) -> str:
        """Skip space and return the next character without reading it."""
        self.read_match(SPACE)
        return self.text[self.position : self.position + 1]

    def read_value(self, path: KeyPath) -> None:
        """Read a value and record its line."""
        first = self.next_character()
        self.line += self.text.count('\n', self.counted_to, self.position)
        self.counted_to = self.position
        self.lines[render_key(path)] = self.line
        if first == '{':
            self.read_members(path)
        elif first == '[':
            self.read_items(path)
        elif first == '"':
            self.read_string()
        else:
            self.read_match(SCALAR)

    def read_string(self) -> str:
        """Read a string and return it."""
        return str(json.loads(self.read_match(STRING)))

    def read_match(self, pattern: re.Pattern[str]) -> str:
        """Read what a pattern matches and return it.

        Raises:
            ValueError: If it does not match here.
        """
        found = pattern.match(self.text, self.position)
        if found is None:
            raise ValueError(f'not JSON at {self.position}')
        self.position = found.end()
        return found.group()

    def read_members(self, path: KeyPath) -> None:
        """Read an object."""
        self.position += 1
        while self.next_character() == '"':
            key = self.read_string()
            self.next_character()
            self.position += 1
            self.read_value((*path, key))
            if self.next_character() == ',':
                self.position += 1
        self.position += 1

    def read_items(self, path: KeyPath) -> None:
        """Read an array."""
        self.position += 1
        index = 0
        while self.next_character() not in {']', ''}:
            self.read_value((*path, index))
            index += 1
            if self.next_character() == ',':
                self.position += 1
        self.position += 1
