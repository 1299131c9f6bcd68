"""Records that the fleet and its operators append to the platform's log."""

from typing import Any

import cbor2
import msgspec
from absl import logging

KIND_FIELD = 'kind'


class LogEntry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag=True,
    tag_field=KIND_FIELD,
):
    """Base class of all records; subclasses set their kind by `tag='...'`.

    A record is a CBOR map, so that a field with a default can be added while
    routers of older and newer versions read the same log.
    """


def encode_entry(entry: LogEntry) -> bytes:
    """Return the CBOR encoding of a record."""
    builtins = msgspec.to_builtins(entry, builtin_types=(bytes,))
    return cbor2.dumps(builtins)


def decode_entry(payload: bytes) -> LogEntry | None:
    """Return the record, or None with a log line if it cannot be decoded.

    A record of an unknown kind or an invalid record, written by a later
    version or by another program, must not stop the reading of the log.
    """
    try:
        return convert_entry(cbor2.loads(payload))
    except Exception as error:  # The decoder has no common error type.
        logging.warning('log_record_unreadable %r', error)
    return None


def convert_entry(builtins: Any) -> LogEntry | None:
    """Return the record for decoded CBOR, or None if its kind is unknown.

    Raises:
        msgspec.ValidationError: If it does not match the schema of its kind.
    """
    if not isinstance(builtins, dict):
        raise msgspec.ValidationError('log record is not a map')
    kind = builtins.get(KIND_FIELD)
    for entry_type in list_entry_types(LogEntry):
        if entry_type.__struct_config__.tag == kind:
            return msgspec.convert(
                builtins,
                entry_type,
                builtin_types=(bytes,),
            )
    logging.info('log_record_kind_unknown %s', kind)
    return None


def list_entry_types(base: type[LogEntry]) -> list[type[LogEntry]]:
    """Return all direct and indirect subclasses imported so far."""
    found: list[type[LogEntry]] = []
    for entry_type in base.__subclasses__():
        found.append(entry_type)
        found.extend(list_entry_types(entry_type))
    return found
