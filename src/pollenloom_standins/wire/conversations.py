"""Generates conversations."""

from typing import Final

from hypothesis import strategies as st
from hypothesis.strategies import SearchStrategy

from pollenloom_standins.wire.conversation import (
    ClientPlan,
    ConnectionEnd,
    Conversation,
    Extra,
    Fate,
    Framing,
    RouteChoice,
    ServerPlan,
)

PART_BYTES: Final = (100, 1, 2, 9, 1000, 65_536)
WRITE_BYTES: Final = (0, 1, 2, 9, 100, 1000)
# Writes of a few bytes take a turn each, so that long bodies take seconds.
MAX_WRITES: Final = 500
# One in so many answers has no end: it takes the router a second or more.
ENDLESS_SHARE: Final = 40
# Servers that go on running, for each of the other fates.
RUNNING_SHARE: Final = 8
# A chunk of one byte takes six bytes.
CHUNK_OVERHEAD: Final = 6
HEAD_BYTES: Final = 300
# Extra answers that can fill up what an answer lacks.
FOLLOWING_ANSWERS: Final = frozenset((Extra.COPY, Extra.OTHER))


def clients() -> SearchStrategy[ClientPlan]:
    """Return plans of clients."""
    return st.builds(
        ClientPlan,
        route=st.sampled_from(RouteChoice),
        body_bytes=st.integers(0, 2000),
        is_chunked=st.booleans(),
        chunk_bytes=st.sampled_from(PART_BYTES),
        write_bytes=st.sampled_from(WRITE_BYTES),
        offers_upgrade=st.integers(0, 9).map(lambda drawn: drawn == 9),
        expects_continue=st.integers(0, 9).map(lambda drawn: drawn == 9),
    )


def servers() -> SearchStrategy[ServerPlan]:
    """Return plans of servers."""
    return st.builds(
        ServerPlan,
        framing=st.sampled_from(Framing),
        body_bytes=st.integers(0, 2000),
        events=st.integers(1, 5),
        chunk_bytes=st.sampled_from(PART_BYTES),
        write_bytes=st.sampled_from(WRITE_BYTES),
        missing_events=st.just(0) | st.integers(0, 5),
        missing_bytes=st.just(0) | st.integers(0, 200),
        extra=st.sampled_from(Extra),
        end=st.sampled_from(ConnectionEnd),
        fate=st.sampled_from((Fate.RUNS,) * RUNNING_SHARE + tuple(Fate)),
    )


def endless_servers() -> SearchStrategy[ServerPlan]:
    """Return plans of servers whose answers have no end."""
    return st.builds(
        ServerPlan,
        framing=st.sampled_from(Framing),
        events=st.integers(1, 2),
        chunk_bytes=st.sampled_from(PART_BYTES),
        is_endless=st.just(value=True),
    )


def conversations() -> SearchStrategy[Conversation]:
    """Return conversations whose outcome the pages decide."""
    plans = st.integers(0, ENDLESS_SHARE).flatmap(
        lambda drawn: endless_servers() if drawn == ENDLESS_SHARE else servers()
    )
    return (
        st.builds(Conversation, client=clients(), server=plans)
        .filter(is_decidable)
        .filter(is_short)
    )


def is_decidable(conversation: Conversation) -> bool:
    """Whether the pages say what a client may see.

    Nothing tells an answer that marks no end from a whole one if a server that
    runs on closes its connection in order, nor bytes without a head within a
    length from a part of the body.
    """
    server = conversation.server
    if server.is_endless:
        return True
    if is_silent(conversation):
        return False
    if conversation.is_broken_off and server.extra is Extra.GARBAGE:
        return False
    if server.framing is not Framing.CLOSE:
        return True
    if server.extra in FOLLOWING_ANSWERS | {Extra.GARBAGE}:
        return False
    runs_on = server.fate in {Fate.RUNS, Fate.FULL}
    if runs_on and server.end is ConnectionEnd.RESET:
        return True
    return not (conversation.is_broken_off and runs_on)


def is_silent(conversation: Conversation) -> bool:
    """Whether the server stops in its answer and keeps the connection.

    Such a conversation takes the time limit of its route.
    """
    server = conversation.server
    if not conversation.is_broken_off or server.framing is Framing.CLOSE:
        return False
    return (
        server.end is ConnectionEnd.KEEP
        and server.extra not in FOLLOWING_ANSWERS
        and server.fate in {Fate.RUNS, Fate.FULL}
    )


def is_short(conversation: Conversation) -> bool:
    """Whether a conversation takes few writes."""
    client, server = conversation.client, conversation.server
    sent = client.body_bytes * CHUNK_OVERHEAD + HEAD_BYTES
    written = server.body_bytes * server.events * CHUNK_OVERHEAD + HEAD_BYTES
    return sent <= MAX_WRITES * (
        client.write_bytes or sent
    ) and written <= MAX_WRITES * (server.write_bytes or written)
