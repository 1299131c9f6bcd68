"""Whether a response that does not mark its end is complete."""

import itertools

import pytest

from pollenloom.gateway.response_end import (
    EarlierConnections,
    EndEvidence,
    EndVerdict,
    NewConnection,
)


@pytest.mark.parametrize(
    ('new_connection', 'earlier', 'verdict'),
    [
        (NewConnection.KEPT, EarlierConnections.OPEN, EndVerdict.WHOLE),
        (NewConnection.DROPPED, EarlierConnections.OPEN, EndVerdict.WHOLE),
        (NewConnection.UNANSWERED, EarlierConnections.OPEN, EndVerdict.WHOLE),
        (NewConnection.KEPT, EarlierConnections.CLOSED, EndVerdict.UNKNOWN),
        (NewConnection.DROPPED, EarlierConnections.CLOSED, EndVerdict.UNKNOWN),
        (
            NewConnection.UNANSWERED,
            EarlierConnections.CLOSED,
            EndVerdict.UNKNOWN,
        ),
        (NewConnection.KEPT, EarlierConnections.ABSENT, EndVerdict.WHOLE),
        (NewConnection.DROPPED, EarlierConnections.ABSENT, EndVerdict.UNKNOWN),
        (
            NewConnection.UNANSWERED,
            EarlierConnections.ABSENT,
            EndVerdict.UNKNOWN,
        ),
    ],
)
def test_earlier_connection_shows_that_the_same_process_runs(
    new_connection: NewConnection,
    earlier: EarlierConnections,
    verdict: EndVerdict,
) -> None:
    """Guards against a reset of a new connection that decides by itself.

    It comes from a server with a long queue, or from what took the place of one
    that has ended.
    """
    evidence = EndEvidence(
        new_connection, earlier, is_leaving=False, has_paused=False
    )
    assert evidence.evaluate() is verdict


@pytest.mark.parametrize('earlier', list(EarlierConnections))
def test_server_that_refuses_without_notice_has_ended(
    earlier: EarlierConnections,
) -> None:
    """Guards against half a response of a server that crashed.

    An idle connection can look open for seconds after that.
    """
    evidence = EndEvidence(
        NewConnection.REFUSED, earlier, is_leaving=False, has_paused=False
    )
    assert evidence.evaluate() is EndVerdict.BROKEN_OFF


@pytest.mark.parametrize('new_connection', list(NewConnection))
def test_leaving_server_completes_its_responses(
    new_connection: NewConnection,
) -> None:
    """Guards against whole responses that fail as their server leaves."""
    evidence = EndEvidence(
        new_connection,
        EarlierConnections.ABSENT,
        is_leaving=True,
        has_paused=False,
    )
    assert evidence.evaluate() is EndVerdict.WHOLE


@pytest.mark.parametrize('has_paused', [False, True])
def test_leaving_server_may_end_within_a_response(has_paused: bool) -> None:
    """Guards against half a response of a server that leaves too early.

    The end of its process closes its other connections at the same moment.
    """
    evidence = EndEvidence(
        NewConnection.REFUSED,
        EarlierConnections.CLOSED,
        is_leaving=True,
        has_paused=has_paused,
    )
    assert evidence.evaluate() is EndVerdict.BROKEN_OFF


def test_new_connection_after_a_pause_shows_nothing() -> None:
    """Guards against half a response of a server that is back after a freeze.

    Its successor accepts connections at the same address.
    """
    evidence = EndEvidence(
        NewConnection.KEPT,
        EarlierConnections.ABSENT,
        is_leaving=False,
        has_paused=True,
    )
    assert evidence.evaluate() is EndVerdict.UNKNOWN


def test_loss_of_an_earlier_connection_never_ends_a_response() -> None:
    """Guards against an exception for one kind of server or connection."""
    for new_connection, is_leaving, has_paused in itertools.product(
        NewConnection, (False, True), (False, True)
    ):
        evidence = EndEvidence(
            new_connection,
            EarlierConnections.CLOSED,
            is_leaving=is_leaving,
            has_paused=has_paused,
        )
        assert evidence.evaluate() is not EndVerdict.WHOLE
