"""Search for routers that are not live members."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from pollenloom.core.states import MemberState, VmListState, VmRole

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.log_service.vm_entry import VmEntry
    from pollenloom.membership.member_table import MemberTable
    from pollenloom.peers.peer_links import PeerLinks

ALONE_SECONDS = 0.25
# Bounds the time until two sides find each other after a partition.
SEARCH_SECONDS = 2
# Bounds the cost of addresses that nobody listens at any more.
ADDRESSES_A_ROUND = 4
# Routers that search in one round, on average, however large the fleet is:
# else hundreds of them would try each address of a dead VM.
SEARCHERS = 8


class FleetJoiner:
    """Greets seeds, routers of the platform's list and the dead.

    The dead are tried because both sides of a partition declare each other
    dead and must find each other again.
    """

    def __init__(
        self,
        table: 'MemberTable',
        peers: 'PeerLinks',
        seeds: Iterable[str],
        exchange: Callable[['VmId'], Awaitable[None]],
    ) -> None:
        self.table = table
        self.peers = peers
        self.seeds = frozenset(seeds)
        self.exchange = exchange
        self.learned: dict[VmId, str] = {}

    def learn(self, entries: Iterable['VmEntry']) -> None:
        """Take the routers of the platform's list as candidates."""
        self.learned = {
            entry.vm: entry.address
            for entry in entries
            if entry.role is VmRole.ROUTER and entry.state is VmListState.LIVE
        }

    def candidates(self) -> list[str]:
        """Addresses that may lead to routers that are not members."""
        known = {self.peers.address}
        dead: set[str] = set()
        for member in self.table.entries.values():
            if member.state is MemberState.DEAD:
                dead.add(member.peer_address)
            else:
                known.add(member.peer_address)
        found = self.seeds | dead | set(self.learned.values())
        return sorted(found - known)

    async def run(self) -> None:
        """Greet some candidates from time to time."""
        while True:
            if random.random() * len(self.table.entries) < SEARCHERS:
                await self.search()
            is_alone = len(self.table.entries) == 1
            pause = ALONE_SECONDS if is_alone else SEARCH_SECONDS
            await asyncio.sleep(pause * random.uniform(0.5, 1))

    async def search(self) -> None:
        """Greet some of the candidates at the same time."""
        candidates = self.candidates()
        count = min(len(candidates), ADDRESSES_A_ROUND)
        chosen = random.sample(candidates, count)
        await asyncio.gather(*[self.greet(address) for address in chosen])

    async def greet(self, address: str) -> None:
        """Exchange entries with the router at an address, if any."""
        outcome = await self.peers.greet(address)
        if outcome.is_ok():
            await self.exchange(outcome.ok)
