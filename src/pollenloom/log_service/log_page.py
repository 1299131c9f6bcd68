"""Records of the platform's log."""

import msgspec

from pollenloom.core.ids import Offset


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One record.

    Attributes:
        offset: Position in the log; offsets only grow.
        appended_at: Platform time, seconds since the Unix epoch.
        payload: Bytes as appended; base64 in the HTTP form.
    """

    offset: Offset
    appended_at: float
    payload: bytes


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Part of the log.

    Attributes:
        records: Records in order of offset.
        earliest: First offset that is still retained.
        next: Offset to read from next.
        end: Offset that the next appended record will get.
        retention_seconds: How long records are kept.
    """

    records: tuple[LogRecord, ...]
    earliest: Offset
    next: Offset
    end: Offset
    retention_seconds: float
