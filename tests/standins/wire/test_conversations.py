"""Conversations of the wire fuzzer with a router in a process of its own."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from pollenloom_standins.wire.__main__ import read_conversation
from pollenloom_standins.wire.conversation import (
    Conversation,
    Fate,
    Framing,
)
from pollenloom_standins.wire.wire_run import (
    Play,
    WireRun,
    open_session,
    run_generated,
)

DIRECTORY = Path(__file__).parent / 'conversations'
FILES = sorted(path.stem for path in DIRECTORY.glob('*.json'))
GENERATED = 250
SEED = 1


@pytest.fixture(scope='module')
def play(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Play]:
    """Plays a conversation; raises if it breaks a rule."""
    with open_session(tmp_path_factory.mktemp('wire'), WireRun()) as played:
        yield played


@pytest.mark.parametrize('name', FILES)
def test_conversation_keeps_the_rules(play: Play, name: str) -> None:
    """Guards against faults that such a conversation has shown before."""
    play(read_conversation(DIRECTORY / f'{name}.json'))


def has_no_known_fault(conversation: Conversation) -> bool:
    """Whether a conversation does not have the cause that issue 55 names.

    A file in `conversations` shows it; its test is in KNOWN-RED.txt.
    """
    server = conversation.server
    ends_with_connection = server.framing is Framing.CLOSE
    return not ends_with_connection or server.fate is not Fate.BACK


def test_generated_conversations_keep_the_rules(tmp_path: Path) -> None:
    """Guards against order of bytes and events that nobody has thought of."""
    run = run_generated(tmp_path, GENERATED, SEED, is_chosen=has_no_known_fault)
    assert run.played >= GENERATED
    assert not run.broken
    assert run.statuses[200] > GENERATED / 3
