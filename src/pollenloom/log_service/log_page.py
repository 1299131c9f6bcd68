"""Records and pages of the platform's log."""

import msgspec

from pollenloom.core.ids import Offset


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the log.

    Attributes:
        offset: Position in the log; offsets increase.
        appended_at: Platform time, seconds since the Unix epoch.
        payload: Bytes as appended; base64 in JSON.
    """

    offset: Offset
    appended_at: float
    payload: bytes


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive records of the log.

    Attributes:
        records: Records in order of offset.
        earliest: First offset that is still retained.
        next: Offset to read from next.
        end: Offset that the next appended record will have.
        retention_seconds: How long the platform keeps records.
    """

    records: tuple[LogRecord, ...]
    earliest: Offset
    next: Offset
    end: Offset
    retention_seconds: float
