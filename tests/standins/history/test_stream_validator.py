"""Outcomes of streams by what their caller receives."""

import pytest

from pollenloom_standins.history.call_record import CallOutcome
from pollenloom_standins.history.expected_response import StreamValidator

FIRST = b'data: {"choices": [{"delta": {"content": "ab "}}]}\n\n'
SECOND = b'data: {"choices": [{"delta": {"content": "cd "}}]}\n\n'
DONE = b'data: [DONE]\n\n'
FAILED = b'data: {"error": {"kind": "answer-cut"}}\n\n'


@pytest.mark.parametrize(
    ('stream', 'ended_cleanly', 'outcome'),
    [
        (FIRST + SECOND + DONE, True, CallOutcome.COMPLETE),
        # Must not pass: tokens that are missing, repeated or of another stream.
        (FIRST + DONE, True, CallOutcome.TRUNCATED),
        (FIRST + FIRST + SECOND + DONE, True, CallOutcome.UNEXPECTED),
        (SECOND + DONE, True, CallOutcome.UNEXPECTED),
        # Must not pass: an end that looks like that of a complete stream.
        (FIRST, True, CallOutcome.TRUNCATED),
        (FIRST + FAILED + DONE, True, CallOutcome.UNEXPECTED),
        (FIRST + FAILED, True, CallOutcome.CUT),
        (FIRST, False, CallOutcome.CUT),
    ],
)
def test_stream_outcomes(
    stream: bytes, ended_cleanly: bool, outcome: CallOutcome
) -> None:
    """Guards against incomplete or mixed streams that count as complete."""
    validator = StreamValidator('ab cd ')
    middle = len(stream) // 2
    validator.add(stream[:middle])
    validator.add(stream[middle:])
    assert validator.evaluate(ended_cleanly=ended_cleanly) is outcome
