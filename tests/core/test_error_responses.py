"""Completeness and truth of the table from error kind to answer."""

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.error_responses import ERROR_RESPONSES
from pollenloom.core.states import RunStatus


def test_every_kind_has_an_answer() -> None:
    """Guards against a kind that a caller would get no answer for."""
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_retryable_kinds_did_not_run() -> None:
    """Guards against inviting a repeat of a request that may have run."""
    exceptions = {ErrorKind.ORDER_IN_PROGRESS}
    for kind, answer in ERROR_RESPONSES.items():
        if answer.retryable and kind not in exceptions:
            assert answer.run is RunStatus.NO
