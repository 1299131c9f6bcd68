"""Makes recorded arrivals from a seed."""

import random
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Final

import msgspec

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.arrival import Arrival, ArrivalKind
from pollenloom_standins.experiment.workload import Workload, choice_of

SHORTEST_ANSWER: Final = 20
LONGEST_ANSWER: Final = 120
# Mean of a length whose logarithm is uniform between the two limits.
MEAN_ANSWER: Final = 55.8
PROMPTS: Final = (200, 800)
# `max_tokens` limits the answer, so a hint is never below the cost. Ratios
# from 1 to 100 are 10 times wrong in both directions around their middle.
LARGEST_HINT_RATIO: Final = 100
HOME_ROUTER: Final = 0.7
SECOND_ROUTER: Final = 0.9
READS_PER_SECOND: Final = 20.0
# Requests of each overloading account that arrive at the start, so that it
# is backlogged from then on.
FIRST_BURST: Final = 12
PROMPT_VARIETY: Final = 1_000_000


class ArrivalRecorder:
    """Draws the arrivals of a workload; a seed always gives the same.

    Attributes:
        seconds: Length of the load.
        load: Factor on the load of all accounts.
        conversations: Conversations of each account that share a prompt
            prefix; 0 makes all prompts different.
        prompts: Shortest and longest prompt, in characters.
        reads_per_second: Calls of the application.
        search_part: Part of these that are searches.
    """

    reads_per_second: float = READS_PER_SECOND
    search_part: float = 0

    def __init__(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
        load: float = 1,
        conversations: int = 0,
        prompts: tuple[int, int] = PROMPTS,
    ) -> None:
        self.workload = workload
        self.shares = shares
        self.seconds = seconds
        self.load = load
        self.conversations = conversations
        self.prompts = prompts

    def record(self, seed: int) -> tuple[Arrival, ...]:
        """Return all arrivals in the order of time."""
        source = random.Random(f'{self.workload.name}-{seed}')
        arrivals: list[Arrival] = []
        for account in self.shares:
            arrivals.extend(self.model_calls(account, source))
        arrivals.extend(self.reads(source))
        return tuple(sorted(arrivals, key=lambda arrival: arrival.at))

    def offered(self, account: AccountId) -> float:
        """Tokens per second that an account asks for.

        Small accounts ask for half of their part, large ones for 1.3 times
        what the others leave, flooding ones for 6 times that.
        """
        part = self.workload.capacity / sum(self.shares.values())
        busy = self.workload.large + self.workload.flooding
        if account not in busy:
            return self.load * part * self.shares[account] / 2
        small = sum(
            share for name, share in self.shares.items() if name not in busy
        )
        left = self.workload.capacity - part * small / 2
        due = left / sum(self.shares[name] for name in busy)
        factor = 6 if account in self.workload.flooding else 1.3
        return self.load * factor * due * self.shares[account]

    def model_calls(
        self,
        account: AccountId,
        source: random.Random,
    ) -> Iterator[Arrival]:
        """Draw the model calls of one account."""
        busy = self.workload.large + self.workload.flooding
        if account in busy and self.load >= 1:
            for _ in range(FIRST_BURST):
                yield self.model_call(account, 0, source)
        rate = self.offered(account) / MEAN_ANSWER
        at = source.expovariate(rate)
        while at < self.seconds:
            yield self.model_call(account, at, source)
            at += source.expovariate(rate)

    def model_call(
        self,
        account: AccountId,
        at: float,
        source: random.Random,
    ) -> Arrival:
        """Draw one model call."""
        ratio = LONGEST_ANSWER / SHORTEST_ANSWER
        answer = round(SHORTEST_ANSWER * ratio ** source.random())
        hint = answer * LARGEST_HINT_RATIO ** source.random()
        number = source.randrange(self.conversations or PROMPT_VARIETY)
        return Arrival(
            at=at,
            account=account,
            router=self.router_of(account, source),
            kind=ArrivalKind.MODEL,
            prompt_characters=source.randint(*self.prompts),
            answer_tokens=answer,
            hint_tokens=round(hint),
            conversation=f'{account}-{number}',
        )

    def reads(self, source: random.Random) -> Iterator[Arrival]:
        """Draw the calls of the application."""
        accounts = tuple(self.shares)
        at = source.expovariate(self.reads_per_second)
        while at < self.seconds:
            account = source.choice(accounts)
            has_search = bool(self.workload.search_path)
            is_search = has_search and source.random() < self.search_part
            yield Arrival(
                at=at,
                account=account,
                router=self.router_of(account, source),
                kind=ArrivalKind.SEARCH if is_search else ArrivalKind.READ,
            )
            at += source.expovariate(self.reads_per_second)

    def router_of(self, account: AccountId, source: random.Random) -> int:
        """Draw a router; most calls of an account go to the same one."""
        routers = self.workload.routers
        drawn = source.random()
        if drawn < HOME_ROUTER:
            return choice_of(f'first {account}', routers)
        if drawn < SECOND_ROUTER:
            return choice_of(f'second {account}', routers)
        return source.randrange(routers)


def write_arrivals(arrivals: tuple[Arrival, ...], path: Path) -> None:
    """Write arrivals, one JSON object a line."""
    path.write_bytes(msgspec.json.Encoder().encode_lines(arrivals))


def read_arrivals(path: Path) -> tuple[Arrival, ...]:
    """Read arrivals from a file."""
    decoder = msgspec.json.Decoder(Arrival)
    return tuple(decoder.decode_lines(path.read_bytes()))
