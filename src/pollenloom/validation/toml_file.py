"""Validation of TOML files with pydantic models."""

import tomllib
from collections.abc import Mapping, Sequence
from typing import Any, Final, Generic, NamedTuple, TypeVar

import msgspec
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from pollenloom.validation.field_schema import describe_schema, find_schema
from pollenloom.validation.file_problem import FileProblem, render_key

ModelT = TypeVar('ModelT', bound=BaseModel)

# An operator may enter a key instead of its hash or file name, so the values
# of these fields are not shown.
SECRET_FIELDS: Final = frozenset(
    ('key_hashes', 'fleet_key_file', 'operator_token_file'),
)
MAX_SHOWN_CHARACTERS: Final = 60
EXTRA_KEY: Final = 'extra_forbidden'


class CheckedFile(NamedTuple, Generic[ModelT]):
    """The model of a valid file, or the problems of an invalid one.

    Attributes:
        model: Model; None if there are problems.
        problems: All problems found; empty for a valid file.
        warnings: Values that were replaced, a line each.
    """

    model: ModelT | None
    problems: tuple[FileProblem, ...]
    warnings: tuple[str, ...] = ()


def check_text(
    model_type: type[ModelT],
    file: str,
    text: str,
) -> CheckedFile[ModelT]:
    """Parse TOML text and validate it with a model."""
    try:
        table = tomllib.loads(text)
        encoded = msgspec.json.encode(table)
    except tomllib.TOMLDecodeError as error:
        return reject(file, f'a syntax error: {error}')
    # ValueError stands for numbers with more digits than Python converts.
    except (RecursionError, OverflowError, ValueError):
        return reject(
            file, 'a table nested too deeply or a number out of range'
        )
    warnings: list[str] = []
    try:
        # Strict mode: strings are not converted to numbers, nor true to 1.
        model = model_type.model_validate_json(
            encoded,
            strict=True,
            context=warnings,
        )
    except ValidationError as error:
        problems = tuple(
            make_problem(model_type, file, table, details)
            for details in error.errors(include_url=False)
            if not is_follow_up_error(table, details)
        )
        return CheckedFile(None, problems)
    return CheckedFile(model, (), tuple(warnings))


def reject(file: str, found: str) -> CheckedFile[ModelT]:
    """Return the result for a file that cannot be parsed."""
    return CheckedFile(None, (FileProblem(file, '', 'TOML', found),))


def is_follow_up_error(table: Mapping[str, Any], details: ErrorDetails) -> bool:
    """Whether a list is too short only because its entries are invalid."""
    if details['type'] != 'too_short':
        return False
    found = find_value(table, details['loc'])
    return isinstance(found, list) and bool(found)


def make_problem(
    model_type: type[BaseModel],
    file: str,
    table: Mapping[str, Any],
    details: ErrorDetails,
) -> FileProblem:
    """Convert one pydantic error to a problem of the file."""
    path = details['loc']
    key = render_key(path)
    if details['type'] == EXTRA_KEY:
        known = find_schema(model_type, path[:-1]).get('properties', {})
        return FileProblem(
            file,
            key,
            f'one of the keys {", ".join(sorted(known))}',
            'an unknown key',
        )
    if details['type'] == 'value_error':
        reason = str(details['ctx']['error'])
        return FileProblem(file, key, 'consistent values', reason)
    expected = describe_schema(
        find_schema(model_type, path),
        last_name(path),
    )
    return FileProblem(file, key, expected, describe_found(table, path))


def last_name(path: Sequence[str | int]) -> str:
    """Return the name of the innermost field of a key path."""
    names = [part for part in path if isinstance(part, str)]
    return names[-1] if names else ''


def find_value(table: Mapping[str, Any], path: Sequence[str | int]) -> Any:
    """Return the value at a key path; None if there is none."""
    node: Any = table
    for part in path:
        try:
            node = node[part]
        except (KeyError, IndexError, TypeError):
            return None
    return node


def describe_found(table: Mapping[str, Any], path: Sequence[str | int]) -> str:
    """Describe the value at a key path, without showing secrets."""
    found = find_value(table, path)
    if found is None:
        return 'nothing'
    if isinstance(found, dict):
        return 'a table'
    if isinstance(found, list):
        return f'a list of {len(found)}'
    if SECRET_FIELDS.intersection(map(str, path)):
        return f'a value of type {type(found).__name__} (not shown)'
    shown = repr(found) if isinstance(found, str) else str(found)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        return f'{shown[:MAX_SHOWN_CHARACTERS]}...'
    return shown
