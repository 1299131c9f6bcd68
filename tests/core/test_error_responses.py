"""Completeness and consistency of the table of error responses."""

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.error_responses import ERROR_RESPONSES
from pollenloom.core.states import RunStatus


def test_every_kind_has_a_response() -> None:
    """Guards against a failure without an HTTP response."""
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_retryable_kinds_did_not_run() -> None:
    """Guards against `Retry-After` for a request that may have run."""
    exceptions = {ErrorKind.ORDER_IN_PROGRESS}
    for kind, response in ERROR_RESPONSES.items():
        if response.retryable and kind not in exceptions:
            assert response.run is RunStatus.NO
