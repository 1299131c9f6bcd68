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
    """Base of all records; each subclass names its kind by `tag='...'`.

    A record is a CBOR map, so that a field with a default can be added while
    older and newer routers read the same log.
    """


def encode_entry(entry: LogEntry) -> bytes:
    """Return the bytes to append."""
    builtins = msgspec.to_builtins(entry, builtin_types=(bytes,))
    return cbor2.dumps(builtins)


def decode_entry(payload: bytes) -> LogEntry | None:
    """Return the record, or None with a logged event if it cannot be read.

    A record of a kind that this version does not know, and a record that
    another program broke, must not stop the reading of the log.
    """
    try:
        return convert_entry(cbor2.loads(payload))
    except Exception as error:  # The decoder has no common error type.
        logging.warning('log_record_unreadable %r', error)
    return None


def convert_entry(builtins: Any) -> LogEntry | None:
    """Return the record for decoded CBOR.

    Raises:
        msgspec.ValidationError: If it does not have the form of its kind.
    """
    if not isinstance(builtins, dict):
        raise msgspec.ValidationError('not a map')
    kind = builtins.get(KIND_FIELD)
    for entry_type in all_entry_types(LogEntry):
        if entry_type.__struct_config__.tag == kind:
            return msgspec.convert(
                builtins,
                entry_type,
                builtin_types=(bytes,),
            )
    logging.info('log_record_kind_unknown %s', kind)
    return None


def all_entry_types(base: type[LogEntry]) -> list[type[LogEntry]]:
    """Return all subclasses that have been imported."""
    found: list[type[LogEntry]] = []
    for entry_type in base.__subclasses__():
        found.append(entry_type)
        found.extend(all_entry_types(entry_type))
    return found
