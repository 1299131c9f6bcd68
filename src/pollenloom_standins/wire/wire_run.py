"""Plays generated conversations and shrinks those that break a rule."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Generator, Iterable
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from pollenloom_standins.wire.conversation import Conversation
from pollenloom_standins.wire.conversations import (
    conversations,
    is_decidable,
)
from pollenloom_standins.wire.verdict import RuleBrokenError, judge
from pollenloom_standins.wire.wire_session import WireSession

Play = Callable[[Conversation], None]


@dataclass(slots=True)
class BrokenRule:
    """Conversations that broke a rule.

    Attributes:
        first_at: Number of the first of them.
        first: The first of them.
        shortest: The latest of them; the shortest after shrinking.
        detail: What was seen in it.
        count: How many there were.
    """

    first_at: int
    first: Conversation
    shortest: Conversation
    detail: str
    count: int = 0


@dataclass(slots=True)
class WireRun:
    """One run of generated conversations.

    Attributes:
        played: Conversations that were played.
        statuses: Conversations by the status that the client saw.
        broken: What broke a rule, by the name of the error.
    """

    played: int = 0
    seconds: float = 0
    statuses: Counter[int] = field(default_factory=Counter)
    broken: dict[str, BrokenRule] = field(default_factory=dict)

    async def play(
        self, session: WireSession, conversation: Conversation
    ) -> None:
        """Play a conversation.

        Raises:
            RuleBrokenError: If it breaks a rule.
        """
        self.played += 1
        seen = await session.play(conversation)
        self.statuses[seen.answer.status] += 1
        try:
            judge(conversation, seen)
        except RuleBrokenError as error:
            self.record(conversation, error)
            raise

    def record(
        self, conversation: Conversation, error: RuleBrokenError
    ) -> None:
        """Keep a conversation that broke a rule."""
        name = type(error).__name__
        if name not in self.broken:
            self.broken[name] = BrokenRule(
                self.played, conversation, conversation, str(error)
            )
        broken = self.broken[name]
        broken.shortest = conversation
        broken.detail = str(error)
        broken.count += 1


@contextmanager
def open_session(directory: Path, run: WireRun) -> Generator[Play, None, None]:
    """Start a router; yield what plays a conversation and raises as `play`.

    Args:
        directory: For the router's settings and log.
        run: Run that the conversations belong to.
    """
    began = time.monotonic()
    with asyncio.Runner() as runner:
        session = WireSession()
        try:
            runner.run(session.start(directory))
            yield lambda conversation: runner.run(
                run.play(session, conversation)
            )
        finally:
            runner.run(session.stop())
    run.seconds = time.monotonic() - began


def run_chosen(
    directory: Path, conversations_to_play: Iterable[Conversation]
) -> WireRun:
    """Play chosen conversations."""
    run = WireRun()
    with open_session(directory, run) as play:
        for conversation in conversations_to_play:
            play_one(play, conversation, stops_at_fault=False)
    return run


def play_one(
    play: Play, conversation: Conversation, *, stops_at_fault: bool
) -> None:
    """Play a conversation; unless told to stop, go on if it breaks a rule.

    Raises:
        RuleBrokenError: If it breaks a rule, and `stops_at_fault`.
    """
    try:
        play(conversation)
    except RuleBrokenError:
        if stops_at_fault:
            raise


def run_generated(
    directory: Path,
    examples: int,
    first_seed: int,
    *,
    shrinks: bool = False,
    is_chosen: Callable[[Conversation], bool] = is_decidable,
) -> WireRun:
    """Play generated conversations.

    Args:
        directory: For the router's settings and log.
        examples: Conversations to generate.
        first_seed: Seed of the generator.
        shrinks: Whether a conversation that breaks a rule ends the run, after
            shorter ones that break it were looked for.
        is_chosen: Which conversations are played.
    """
    run = WireRun()
    configure = settings(
        max_examples=examples,
        database=None,
        deadline=None,
        derandomize=False,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
    with open_session(directory, run) as play:
        generate = given(
            play=st.just(play),
            conversation=conversations().filter(is_chosen),
            stops_at_fault=st.just(shrinks),
        )
        generated = seed(first_seed)(configure(generate(play_one)))
        # The report has what the exceptions tell.
        with suppress(RuleBrokenError, ExceptionGroup):
            generated()
    return run
