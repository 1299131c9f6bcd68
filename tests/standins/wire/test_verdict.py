"""Judgement of conversations by the rules of the users' pages."""

import pytest

from pollenloom_standins.wire.answer_bytes import make_content
from pollenloom_standins.wire.conversation import (
    ClientPlan,
    ConnectionEnd,
    Conversation,
    RouteChoice,
    ServerPlan,
)
from pollenloom_standins.wire.observation import Observation, SeenAnswer
from pollenloom_standins.wire.verdict import (
    ConfigError,
    LostError,
    MixedError,
    RuleBrokenError,
    UnaskedError,
    judge,
)
from pollenloom_standins.wire.wire_client import make_request

SOUND = Conversation(ClientPlan(RouteChoice.ORDER, body_bytes=40))
BROKEN_OFF = Conversation(SOUND.client, ServerPlan(missing_bytes=1))
RESET = Conversation(SOUND.client, ServerPlan(end=ConnectionEnd.RESET))


@pytest.fixture
def seen() -> Observation:
    """What is seen in a conversation in which all is well."""
    request = make_request(SOUND.client, '/order-0/', 'a1')
    body = make_content(SOUND, 'a1')
    return Observation(
        sent=request,
        received=[request],
        answer=SeenAnswer(200, body, is_complete=True),
        follower=SeenAnswer(200, b'', is_complete=True),
    )


def test_whole_answer_keeps_the_rules(seen: Observation) -> None:
    judge(SOUND, seen)


@pytest.mark.parametrize('status', [429, 503])
def test_refusal_of_a_sound_request_is_allowed(
    seen: Observation, status: int
) -> None:
    seen.answer = SeenAnswer(status, b'', is_complete=True)
    judge(SOUND, seen)


@pytest.mark.parametrize('conversation', [BROKEN_OFF, RESET])
def test_failure_of_a_broken_answer_is_allowed(
    seen: Observation, conversation: Conversation
) -> None:
    seen.answer = SeenAnswer(502, b'', is_complete=True)
    judge(conversation, seen)


def judged(seen: Observation) -> type[RuleBrokenError] | None:
    """Return which rule is broken."""
    try:
        judge(SOUND, seen)
    except RuleBrokenError as error:
        return type(error)
    return None


def test_each_broken_rule_is_told(seen: Observation) -> None:
    """Guards against a judge that overlooks a fault."""
    body = seen.answer.body
    seen.answer = SeenAnswer(200, body[:-1] + b'?', is_complete=True)
    assert judged(seen) is MixedError
    seen.answer = SeenAnswer(200, body[:-1], is_complete=False)
    assert judged(seen) is LostError
    seen.answer = SeenAnswer(200, body, is_complete=True)
    seen.follower = SeenAnswer(400, b'', is_complete=True)
    assert judged(seen) is UnaskedError
    seen.follower = None
    assert judged(seen) is None
    seen.received.append(make_request(SOUND.client, '/order-0/', 'a2'))
    assert judged(seen) is UnaskedError
    seen.received.clear()
    seen.waited_seconds = 2
    assert judged(seen) is ConfigError
    seen.peak_megabytes = 151
    assert judged(seen) is LostError
