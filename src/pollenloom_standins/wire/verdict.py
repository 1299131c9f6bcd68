"""Judges a conversation by the rules of the users' pages."""

from http import HTTPStatus
from typing import Final

from pollenloom_standins.wire.answer_bytes import make_content
from pollenloom_standins.wire.conversation import Conversation
from pollenloom_standins.wire.observation import Observation, SeenAnswer

# Memory of the smallest machines.
MAX_MEGABYTES: Final = 150
# Time limit of the route of the sound requests, and the time after it in which
# they must have an answer (RULES.md, CONFIG).
MAX_WAIT_SECONDS: Final = 1.5
# Answers that promise that nothing has run.
REFUSALS: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


class RuleBrokenError(Exception):
    """A rule of the users' pages was broken."""


class UnaskedError(RuleBrokenError):
    """A request or an answer arrived that nobody asked for."""


class MixedError(RuleBrokenError):
    """A success does not have the server's whole answer to the request."""


class LostError(RuleBrokenError):
    """A sound answer was not passed on, or the router ended."""


class ConfigError(RuleBrokenError):
    """Requests of others were not answered within their time limit."""


def is_success(answer: SeenAnswer) -> bool:
    """Whether an answer is a complete success."""
    return answer.is_complete and (
        HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES
    )


def judge(conversation: Conversation, seen: Observation) -> None:
    """Check what was seen.

    Raises:
        RuleBrokenError: If a rule was broken.
    """
    check_router(seen)
    check_requests(seen)
    check_answer(conversation, seen)


def check_router(seen: Observation) -> None:
    """Check that the router serves others and keeps to its memory.

    Raises:
        LostError: If it ended or took too much memory.
        ConfigError: If it did not answer others in time.
    """
    if not seen.is_running or seen.peak_megabytes > MAX_MEGABYTES:
        raise LostError(f'the router took {seen.peak_megabytes:.0f} MB')
    if seen.waited_seconds > MAX_WAIT_SECONDS:
        raise ConfigError(f'another client waited {seen.waited_seconds:.2f} s')


def check_requests(seen: Observation) -> None:
    """Check what the server received.

    Raises:
        UnaskedError: If that is not what the client sent, or the client got
            an answer that it did not ask for.
    """
    for received in seen.received:
        if received != seen.sent:
            raise UnaskedError(f'{received!r} instead of {seen.sent!r}')
    follower = seen.follower
    if follower is not None and follower.status not in {
        0,
        HTTPStatus.OK,
        *REFUSALS,
    }:
        raise UnaskedError(f'status {follower.status} behind the answer')


def check_answer(conversation: Conversation, seen: Observation) -> None:
    """Check what the client received.

    Raises:
        MixedError: If a success is not the whole answer to the request.
        LostError: If a sound answer did not arrive.
    """
    answer = seen.answer
    if is_success(answer):
        expected = make_content(conversation, seen.sent.request_id)
        if answer.body != expected:
            raise MixedError(
                f'{len(answer.body)} bytes instead of {len(expected)}'
            )
    elif conversation.is_sound and answer.status not in REFUSALS:
        raise LostError(
            f'a sound answer arrived with status {answer.status}, '
            f'{len(answer.body)} bytes'
        )
