"""Descriptions in words of the fields of a pydantic model."""

from collections.abc import Sequence
from functools import cache
from types import MappingProxyType
from typing import Any, Final

from pydantic import BaseModel

from pollenloom.configuration.account_entry import (
    KEY_HASH_PATTERN,
    NAME_PATTERN,
)
from pollenloom.configuration.service_file import VERSION_PATTERN
from pollenloom.settings.router_settings import ADDRESS_PATTERN

Schema = dict[str, Any]

# JSON schema keyword for the entries of a list.
ENTRIES: Final = 'items'

PATTERN_TEXTS: Final = MappingProxyType(
    {
        NAME_PATTERN: 'lower-case letters, digits and hyphens, at most 63',
        KEY_HASH_PATTERN: 'the SHA-256 of a key as 64 hexadecimal digits',
        VERSION_PATTERN: (
            'letters, digits, dots, underscores and hyphens, at most 63'
        ),
        ADDRESS_PATTERN: 'an IP address and port such as 10.0.0.1:8080',
        f'^$|{ADDRESS_PATTERN}': (
            'an IP address and port such as 10.0.0.1:8080, or empty text'
        ),
        '^http://': 'a URL that starts with http://',
        '^/': 'a path that starts with /',
    }
)
TYPE_TEXTS: Final = MappingProxyType(
    {
        'string': 'text',
        'integer': 'a whole number',
        'number': 'a number',
        'boolean': 'true or false',
        'array': 'a list',
        'object': 'a table',
    }
)
FORMAT_TEXTS: Final = MappingProxyType(
    {
        'date-time': (
            'a date and time with UTC offset such as 2027-06-30T12:00:00+02:00'
        ),
        'path': 'the path of a file',
    }
)
RANGE_TEXTS: Final = MappingProxyType(
    {
        'exclusiveMinimum': 'above',
        'minimum': 'at least',
        'maximum': 'at most',
    }
)
# Unit by the suffix of the field name.
UNITS: Final = MappingProxyType(
    {
        'milliseconds': 'ms',
        'seconds': 'seconds',
        'megabytes': 'MB',
        'bytes': 'bytes',
        'descriptors': 'descriptors',
        'share': 'weight',
        'cost': 'calls',
        'max_waiting': 'requests',
        'connections': 'connections',
        'shard_servers': 'backend servers',
        'routers': 'routers',
    }
)


@cache
def model_schema(model: type[BaseModel]) -> Schema:
    """Return the JSON schema of a model."""
    return model.model_json_schema()


def find_schema(model: type[BaseModel], path: Sequence[str | int]) -> Schema:
    """Return the schema of the field at a key path; empty if unknown."""
    root = model_schema(model)
    node = root
    for part in path:
        node = child_schema(resolve(root, node), part)
    return resolve(root, node)


def child_schema(schema: Schema, part: str | int) -> Schema:
    """Return the schema of the entries of a list or of a field of a table.

    It is empty if unknown.
    """
    if isinstance(part, int):
        entries: Schema = schema.get(ENTRIES, {})
        return entries
    fields: Schema = schema.get('properties', {})
    found: Schema = fields.get(part, {})
    return found


def resolve(root: Schema, node: Schema) -> Schema:
    """Resolve a reference and the non-null option of an optional field."""
    for option in node.get('anyOf', ()):
        if option.get('type') != 'null':
            return resolve(root, option)
    reference = node.get('$ref')
    if reference is None:
        return node
    found: Schema = root['$defs'][reference.rsplit('/', 1)[-1]]
    return found


def describe_schema(schema: Schema, field_name: str) -> str:
    """Return type, unit and range of a field in words."""
    choices = schema.get('enum')
    if choices:
        return f'one of {", ".join(map(repr, choices))}'
    text = (
        PATTERN_TEXTS.get(schema.get('pattern', ''))
        or FORMAT_TEXTS.get(schema.get('format', ''))
        or TYPE_TEXTS.get(schema.get('type', ''), 'a value')
    )
    return f'{text}{describe_unit(schema, field_name)}{describe_range(schema)}'


def describe_unit(schema: Schema, field_name: str) -> str:
    """Return the unit of a number in parentheses; empty if it has none."""
    if schema.get('type') not in {'integer', 'number'}:
        return ''
    for suffix, unit in UNITS.items():
        if field_name.endswith(suffix):
            return f' ({unit})'
    return ''


def describe_range(schema: Schema) -> str:
    """Return the bounds of a number, string or list; empty without any."""
    bounds = [
        f'{text} {schema[keyword]:,}'.replace(',', ' ')
        for keyword, text in RANGE_TEXTS.items()
        if keyword in schema
    ]
    if schema.get('minItems'):
        bounds.append('with at least one entry')
    if schema.get('minLength'):
        bounds.append('not empty')
    joined = ' and '.join(bounds)
    return f' {joined}' if joined else ''
