"""Log lines as JSON objects."""

import logging as standard_logging
import re
import traceback
from collections.abc import Mapping
from datetime import UTC, datetime
from functools import cache
from typing import Any, Final

import msgspec
from absl import flags, logging

from pollenloom.observability.bounded_stream import BoundedStream
from pollenloom.observability.event_log import Event

REDACTED: Final = '[redacted]'
SECRET_NAMES: Final = re.compile(
    r'(authori[sz]ation|token|secret|password|api_?key|fleet_key)$',
    re.IGNORECASE,
)
SECRET_TEXT: Final = re.compile(
    r'\b(bearer\s+|(?:token|secret|password|api[_-]?key)\s*[=:]\s*)[^\s,;"\']+',
    re.IGNORECASE,
)
# A plain message such as `task_failed peers-1` starts with its event name.
EVENT_NAME: Final = re.compile(r'^([a-z][a-z0-9]*(?:_[a-z0-9]+)+)(?:\s+|$)')
TRACEBACK_FRAMES: Final = 12


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as one line with one JSON object.

    The keys are time (RFC 3339, UTC), level, event, subject and fields. The
    event of a record without an event name is `log`.
    """

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line without its line break."""
        line = describe(record)
        if record.exc_info and record.exc_info[1] is not None:
            line['fields'].update(describe_exception(record.exc_info[1]))
        line['fields'] = redact(line['fields'])
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure_json_log(
    verbosity: int = logging.INFO,
    stream: BoundedStream | None = None,
) -> None:
    """Send the records of all loggers to a stream as JSON lines.

    Without a stream they are written to standard error, which may block.
    """
    # Without parsed flags absl writes a warning that is not JSON.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS['logtostderr'].value = True
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter())
    if stream is not None:
        logging.get_absl_handler().python_handler.stream = stream
    logging.set_verbosity(verbosity)


def describe(record: standard_logging.LogRecord) -> dict[str, Any]:
    """Return time, level, event, subject and fields of a record."""
    event = getattr(record, 'event_record', None)
    line: dict[str, Any] = {
        'time': format_time(record.created),
        'level': record.levelname.lower(),
    }
    if isinstance(event, Event):
        line.update(event=event.name, subject=event.subject)
        line['fields'] = dict(event.fields)
        return line
    message = record.getMessage()
    match = EVENT_NAME.match(message)
    line.update(event=match[1] if match else 'log', subject='')
    line['fields'] = {'logger': record.name}
    rest = message[match.end() :] if match else message
    if rest:
        line['fields']['message'] = rest
    return line


def describe_exception(error: BaseException) -> dict[str, str]:
    """Return type, text and innermost frames of an exception."""
    frames = traceback.extract_tb(error.__traceback__)[-TRACEBACK_FRAMES:]
    return {
        'error_type': type(error).__name__,
        'error': str(error),
        'error_at': ' < '.join(
            f'{frame.name} ({frame.filename}:{frame.lineno})'
            for frame in reversed(frames)
        ),
    }


def redact(fields: Mapping[str, Any]) -> dict[str, Any]:
    """Replace secrets, which are detected by field name or by pattern."""
    return {key: redact_value(key, entry) for key, entry in fields.items()}


def redact_value(key: str, entry: object) -> object:
    """Return the value to log for a field, with secrets replaced."""
    if is_secret_name(key):
        return REDACTED
    if isinstance(entry, str) and may_hold_secret(entry):
        return SECRET_TEXT.sub(rf'\1{REDACTED}', entry)
    return entry


@cache
def is_secret_name(key: str) -> bool:
    """Whether a field of that name holds a secret.

    The cache stays small, since the names are written in the code.
    """
    return SECRET_NAMES.search(key) is not None


def may_hold_secret(text: str) -> bool:
    """Whether a text has a separator between a name and a secret.

    A cheap check before the regular expression.
    """
    return ' ' in text or '=' in text or ':' in text


def format_time(seconds: float) -> str:
    """Return seconds since the Unix epoch in RFC 3339 form, UTC, with ms."""
    moment = datetime.fromtimestamp(seconds, tz=UTC)
    return moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')
