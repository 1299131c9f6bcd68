"""Fetching of register values that other routers offer."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from pollenloom.membership.register_messages import (
    RegisterFetch,
    RegisterValues,
    RegisterVersion,
)
from pollenloom.membership.register_table import RegisterTable, rank

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.membership.register_value import RegisterValue
    from pollenloom.peers.peer_network import PeerNetwork

FETCH_SECONDS = 1


class RegisterFetcher:
    """Fetches each offered version once.

    Attributes:
        under_way: Versions that are being fetched, by key.
        other_sources: Routers that offered a version under way, too.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        peers: 'PeerNetwork',
        table: RegisterTable,
        put: Callable[[str, 'RegisterValue'], bool],
    ) -> None:
        self.kernel = kernel
        self.peers = peers
        self.table = table
        self.put = put
        self.under_way: dict[str, RegisterVersion] = {}
        self.other_sources: dict[str, VmId] = {}

    def offered(
        self,
        vm: 'VmId',
        versions: Iterable[RegisterVersion],
    ) -> None:
        """Fetch from a router what is newer there."""
        wanted: list[RegisterVersion] = []
        for version in versions:
            if not self.table.lacks(version):
                continue
            under_way = self.under_way.get(version.key)
            if under_way is None or rank(version) > rank(under_way):
                wanted.append(version)
            else:
                self.other_sources[version.key] = vm
        self.spawn(vm, wanted)

    def spawn(self, vm: 'VmId', wanted: list[RegisterVersion]) -> None:
        """Start to fetch versions from a router."""
        if wanted:
            self.under_way.update({version.key: version for version in wanted})
            self.kernel.spawn(f'register fetch {vm}', self.fetch(vm, wanted))

    async def fetch(self, vm: 'VmId', wanted: list[RegisterVersion]) -> None:
        """Fetch values; what one router fails to give another one may."""
        missing = wanted
        while missing and await self.fetch_batch(vm, missing):
            missing = [
                version for version in missing if self.table.lacks(version)
            ]
        for version in wanted:
            if self.under_way.get(version.key) is version:
                self.under_way.pop(version.key)
            source = self.other_sources.pop(version.key, None)
            if source is not None and version in missing:
                self.spawn(source, [version])

    async def fetch_batch(
        self,
        vm: 'VmId',
        missing: list[RegisterVersion],
    ) -> bool:
        """Ask for values once; return whether any came."""
        outcome = await self.peers.request(
            vm,
            RegisterFetch(tuple(version.key for version in missing)),
            RegisterValues,
            FETCH_SECONDS,
        )
        if outcome.is_error():
            return False
        for keyed in outcome.ok.registers:
            self.put(keyed.key, keyed.register)
        return bool(outcome.ok.registers)
