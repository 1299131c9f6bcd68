"""Generates the arrivals of a load from a seed."""

import random
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Final

import msgspec

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.arrival import Arrival, ArrivalKind
from pollenloom_standins.experiment.workload import Workload, stable_index

SHORTEST_ANSWER_TOKENS: Final = 20
LONGEST_ANSWER_TOKENS: Final = 120
# Mean of a length whose logarithm is uniformly distributed between these.
MEAN_ANSWER_TOKENS: Final = 55.8
# Shortest and longest prompt.
PROMPT_CHARACTERS: Final = (200, 800)
# `max_tokens` limits the answer, so a hint is never below the cost. Ratios of
# hint to cost from 1 to 100 are off by up to a factor of 10 in both directions
# from their geometric mean.
LARGEST_HINT_RATIO: Final = 100
# Each account has a first and a second router; the remaining calls go to any.
FIRST_ROUTER_PROBABILITY: Final = 0.7
FIRST_OR_SECOND_ROUTER_PROBABILITY: Final = 0.9
READS_PER_SECOND: Final = 20.0
# Requests of each overloading account at the start of the load, so that the
# account is backlogged from then on.
INITIAL_BURST_REQUESTS: Final = 12
# Conversation ids to draw from where prompts should not share a prefix.
DISTINCT_PROMPTS: Final = 1_000_000


class ArrivalGenerator:
    """Draws the arrivals of a workload, the same ones for the same seed.

    Attributes:
        workload: Fleet and accounts that the load is for.
        shares: Share of each account.
        seconds: Length of the load.
        load: Factor on the load of all accounts; below 1 there is no initial
            burst.
        conversations: Number of conversations of each account; the requests
            of one share a prompt prefix. With 0, practically every request
            has a prefix that no other has.
        prompt_characters: Lengths of the shortest and the longest prompt.
        reads_per_second: Rate of calls of the application.
        search_fraction: Fraction of these calls that are searches.
    """

    reads_per_second: float = READS_PER_SECOND
    search_fraction: float = 0

    def __init__(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
        load: float = 1,
        conversations: int = 0,
        prompt_characters: tuple[int, int] = PROMPT_CHARACTERS,
    ) -> None:
        self.workload = workload
        self.shares = shares
        self.seconds = seconds
        self.load = load
        self.conversations = conversations
        self.prompt_characters = prompt_characters

    def generate(self, seed: int) -> tuple[Arrival, ...]:
        """Return all arrivals, sorted by time."""
        random_source = random.Random(f'{self.workload.name}-{seed}')
        arrivals: list[Arrival] = []
        for account in self.shares:
            arrivals.extend(self.draw_model_calls(account, random_source))
        arrivals.extend(self.draw_application_calls(random_source))
        return tuple(sorted(arrivals, key=lambda arrival: arrival.at))

    def offered_tokens_per_second(self, account: AccountId) -> float:
        """Return the tokens per second that an account requests.

        Small accounts request half of their share of the capacity. The rest
        of the capacity is due to the large and flooding accounts by share:
        large ones request 1.3 times and flooding ones 6 times as much.
        """
        capacity_per_share = self.workload.capacity / sum(self.shares.values())
        overloading = self.workload.large + self.workload.flooding
        if account not in overloading:
            return self.load * capacity_per_share * self.shares[account] / 2
        small_shares = sum(
            share
            for name, share in self.shares.items()
            if name not in overloading
        )
        remaining_capacity = (
            self.workload.capacity - capacity_per_share * small_shares / 2
        )
        remaining_per_share = remaining_capacity / sum(
            self.shares[name] for name in overloading
        )
        factor = 6 if account in self.workload.flooding else 1.3
        return self.load * factor * remaining_per_share * self.shares[account]

    def draw_model_calls(
        self,
        account: AccountId,
        random_source: random.Random,
    ) -> Iterator[Arrival]:
        """Draw the model calls of one account, as a Poisson process."""
        overloading = self.workload.large + self.workload.flooding
        if account in overloading and self.load >= 1:
            for _ in range(INITIAL_BURST_REQUESTS):
                yield self.draw_model_call(account, 0, random_source)
        rate = self.offered_tokens_per_second(account) / MEAN_ANSWER_TOKENS
        at = random_source.expovariate(rate)
        while at < self.seconds:
            yield self.draw_model_call(account, at, random_source)
            at += random_source.expovariate(rate)

    def draw_model_call(
        self,
        account: AccountId,
        at: float,
        random_source: random.Random,
    ) -> Arrival:
        """Draw the router and the lengths of one model call."""
        ratio = LONGEST_ANSWER_TOKENS / SHORTEST_ANSWER_TOKENS
        answer_tokens = round(
            SHORTEST_ANSWER_TOKENS * ratio ** random_source.random()
        )
        hint_tokens = (
            answer_tokens * LARGEST_HINT_RATIO ** random_source.random()
        )
        conversation = random_source.randrange(
            self.conversations or DISTINCT_PROMPTS
        )
        return Arrival(
            at=at,
            account=account,
            router=self.draw_router(account, random_source),
            kind=ArrivalKind.MODEL,
            prompt_characters=random_source.randint(*self.prompt_characters),
            answer_tokens=answer_tokens,
            hint_tokens=round(hint_tokens),
            conversation=f'{account}-{conversation}',
        )

    def draw_application_calls(
        self, random_source: random.Random
    ) -> Iterator[Arrival]:
        """Draw the calls of the application, as a Poisson process."""
        accounts = tuple(self.shares)
        at = random_source.expovariate(self.reads_per_second)
        while at < self.seconds:
            account = random_source.choice(accounts)
            has_search = bool(self.workload.search_path)
            is_search = (
                has_search and random_source.random() < self.search_fraction
            )
            yield Arrival(
                at=at,
                account=account,
                router=self.draw_router(account, random_source),
                kind=ArrivalKind.SEARCH if is_search else ArrivalKind.READ,
            )
            at += random_source.expovariate(self.reads_per_second)

    def draw_router(
        self, account: AccountId, random_source: random.Random
    ) -> int:
        """Draw the index of a router; most calls of an account share one."""
        routers = self.workload.routers
        draw = random_source.random()
        if draw < FIRST_ROUTER_PROBABILITY:
            return stable_index(f'first {account}', routers)
        if draw < FIRST_OR_SECOND_ROUTER_PROBABILITY:
            return stable_index(f'second {account}', routers)
        return random_source.randrange(routers)


def write_arrivals(arrivals: tuple[Arrival, ...], path: Path) -> None:
    """Write arrivals to a file, one JSON object per line."""
    path.write_bytes(msgspec.json.Encoder().encode_lines(arrivals))


def read_arrivals(path: Path) -> tuple[Arrival, ...]:
    """Read a file that `write_arrivals` wrote.

    Raises `msgspec.DecodeError` if a line is not a valid arrival.
    """
    decoder = msgspec.json.Decoder(Arrival)
    return tuple(decoder.decode_lines(path.read_bytes()))
