"""A stream is judged by what its caller can see."""

import pytest

from pollenloom_standins.history.call_record import CallOutcome
from pollenloom_standins.history.expected_response import StreamValidator

FIRST = b'data: {"choices": [{"delta": {"content": "ab "}}]}\n\n'
SECOND = b'data: {"choices": [{"delta": {"content": "cd "}}]}\n\n'
DONE = b'data: [DONE]\n\n'
FAILED = b'data: {"error": {"kind": "answer-cut"}}\n\n'


@pytest.mark.parametrize(
    ('stream', 'ended_well', 'outcome'),
    [
        (FIRST + SECOND + DONE, True, CallOutcome.WHOLE),
        # Must not pass: tokens that are missing, repeated or another's.
        (FIRST + DONE, True, CallOutcome.SHORT),
        (FIRST + FIRST + SECOND + DONE, True, CallOutcome.WRONG),
        (SECOND + DONE, True, CallOutcome.WRONG),
        # Must not pass: an end that looks like a whole stream's.
        (FIRST, True, CallOutcome.SHORT),
        (FIRST + FAILED + DONE, True, CallOutcome.WRONG),
        (FIRST + FAILED, True, CallOutcome.CUT),
        (FIRST, False, CallOutcome.CUT),
    ],
)
def test_streams(stream: bytes, ended_well: bool, outcome: CallOutcome) -> None:
    validator = StreamValidator('ab cd ')
    middle = len(stream) // 2
    validator.add(stream[:middle])
    validator.add(stream[middle:])
    assert validator.evaluate(ended_well=ended_well) is outcome
