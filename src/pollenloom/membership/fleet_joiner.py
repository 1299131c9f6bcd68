"""Discovery of routers that are not live members."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from pollenloom.core.states import MemberState, VmListState, VmRole

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.log_service.vm_entry import VmEntry
    from pollenloom.membership.member_table import MemberTable
    from pollenloom.peers.observable_peer_network import ObservablePeerNetwork

# Longest pause while this router knows no other one.
ALONE_SEARCH_PERIOD_SECONDS = 0.25
# Longest pause otherwise; bounds the time until two sides find each other after
# a partition.
SEARCH_PERIOD_SECONDS = 2
# Bounds the cost of addresses at which no router listens any more.
MAX_ADDRESSES_PER_ROUND = 4
# Average number of routers that search in one round, for any size of the fleet;
# otherwise hundreds of routers would try each address of a dead VM.
SEARCHERS_PER_ROUND = 8


class FleetJoiner:
    """Contacts seeds, routers of the platform's VM list and dead members.

    Dead members are contacted because both sides of a partition declare each
    other dead and must find each other again.

    Attributes:
        seeds: Configured addresses.
        exchange: Exchanges entries with a connected router.
        listed_addresses: Live routers of the platform's VM list.
    """

    def __init__(
        self,
        table: 'MemberTable',
        peers: 'ObservablePeerNetwork',
        seeds: Iterable[str],
        exchange: Callable[['VmId'], Awaitable[None]],
    ) -> None:
        self.table = table
        self.peers = peers
        self.seeds = frozenset(seeds)
        self.exchange = exchange
        self.listed_addresses: dict[VmId, str] = {}

    def update_listed(self, entries: Iterable['VmEntry']) -> None:
        """Replace the candidates that come from the platform's VM list."""
        self.listed_addresses = {
            entry.vm: entry.address
            for entry in entries
            if entry.role is VmRole.ROUTER and entry.state is VmListState.LIVE
        }

    def candidates(self) -> list[str]:
        """Addresses of routers that may not be live members, sorted."""
        known = {self.peers.address}
        dead: set[str] = set()
        for member in self.table.entries.values():
            if member.state is MemberState.DEAD:
                dead.add(member.peer_address)
            else:
                known.add(member.peer_address)
        found = self.seeds | dead | set(self.listed_addresses.values())
        return sorted(found - known)

    async def run(self) -> None:
        """Contact some candidates periodically until cancelled."""
        while True:
            if random.random() * len(self.table.entries) < SEARCHERS_PER_ROUND:
                await self.search()
            is_alone = len(self.table.entries) == 1
            pause = (
                ALONE_SEARCH_PERIOD_SECONDS
                if is_alone
                else SEARCH_PERIOD_SECONDS
            )
            await asyncio.sleep(pause * random.uniform(0.5, 1))

    async def search(self) -> None:
        """Contact a random sample of the candidates concurrently."""
        candidates = self.candidates()
        count = min(len(candidates), MAX_ADDRESSES_PER_ROUND)
        chosen = random.sample(candidates, count)
        await asyncio.gather(*[self.contact(address) for address in chosen])

    async def contact(self, address: str) -> None:
        """Exchange entries with the router at an address, if it responds."""
        outcome = await self.peers.connect(address)
        if outcome.is_ok():
            await self.exchange(outcome.ok)
