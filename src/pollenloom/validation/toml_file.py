"""Checks the text of a TOML file against a pydantic model."""

import tomllib
from collections.abc import Mapping, Sequence
from typing import Any, Final, Generic, NamedTuple, TypeVar

import msgspec
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from pollenloom.validation.field_schema import describe_schema, find_schema
from pollenloom.validation.file_problem import FileProblem, render_key

ModelT = TypeVar('ModelT', bound=BaseModel)

# An operator may put a key where its hash or its file's name belongs.
SECRET_FIELDS: Final = frozenset(
    ('key_hashes', 'fleet_key_file', 'operator_token_file'),
)
SHOWN_LENGTH: Final = 60
EXTRA_KEY: Final = 'extra_forbidden'


class CheckedFile(NamedTuple, Generic[ModelT]):
    """The model of a file, or the problems that kept it from one."""

    model: ModelT | None
    problems: tuple[FileProblem, ...]


def check_text(
    model_type: type[ModelT],
    file: str,
    text: str,
) -> CheckedFile[ModelT]:
    """Read TOML text and check it against a model."""
    try:
        table = tomllib.loads(text)
        encoded = msgspec.json.encode(table)
    except tomllib.TOMLDecodeError as error:
        return reject(file, f'a syntax error: {error}')
    except (RecursionError, OverflowError):
        return reject(file, 'a too deep table or too large number')
    try:
        # JSON is checked strictly: text is no number and true is not 1.
        model = model_type.model_validate_json(
            encoded,
            strict=True,
        )
    except ValidationError as error:
        problems = tuple(
            make_problem(model_type, file, table, details)
            for details in error.errors(include_url=False)
            if not is_consequence(table, details)
        )
        return CheckedFile(None, problems)
    return CheckedFile(model, ())


def reject(file: str, found: str) -> CheckedFile[ModelT]:
    """Return the problem of a file that cannot be read as a whole."""
    return CheckedFile(None, (FileProblem(file, '', 'TOML', found),))


def is_consequence(table: Mapping[str, Any], details: ErrorDetails) -> bool:
    """Whether a list is only too short because its entries are wrong."""
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
    """Return one error of pydantic as a problem of the file."""
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
    """Return what the file has at a key path; None if nothing."""
    node: Any = table
    for part in path:
        try:
            node = node[part]
        except (KeyError, IndexError, TypeError):
            return None
    return node


def describe_found(table: Mapping[str, Any], path: Sequence[str | int]) -> str:
    """Return what the file has at a key path, without secrets."""
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
    if len(shown) > SHOWN_LENGTH:
        return f'{shown[:SHOWN_LENGTH]}...'
    return shown
