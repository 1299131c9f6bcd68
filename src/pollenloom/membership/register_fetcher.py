"""Fetches register values that other routers offer."""

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

FETCH_TIMEOUT_SECONDS = 1


class RegisterFetcher:
    """Fetches each offered version once.

    Attributes:
        put: Stores a fetched value; returns whether it was newer.
        in_progress: Versions that are being fetched, by key.
        alternative_sources: Router that last offered a version in progress,
            by key; used if the fetch fails.
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
        self.in_progress: dict[str, RegisterVersion] = {}
        self.alternative_sources: dict[str, VmId] = {}

    def handle_offer(
        self,
        vm: 'VmId',
        versions: Iterable[RegisterVersion],
    ) -> None:
        """Fetch the offered versions that are newer and not in progress."""
        requested: list[RegisterVersion] = []
        for version in versions:
            if not self.table.lacks(version):
                continue
            version_in_progress = self.in_progress.get(version.key)
            if version_in_progress is None or rank(version) > rank(
                version_in_progress
            ):
                requested.append(version)
            else:
                self.alternative_sources[version.key] = vm
        self.spawn(vm, requested)

    def spawn(self, vm: 'VmId', requested: list[RegisterVersion]) -> None:
        """Start to fetch versions from a router, if there are any."""
        if requested:
            self.in_progress.update(
                {version.key: version for version in requested}
            )
            self.kernel.spawn(f'register fetch {vm}', self.fetch(vm, requested))

    async def fetch(self, vm: 'VmId', requested: list[RegisterVersion]) -> None:
        """Fetch values in batches; try another source for missing ones."""
        missing = requested
        while missing and await self.fetch_batch(vm, missing):
            missing = [
                version for version in missing if self.table.lacks(version)
            ]
        for version in requested:
            if self.in_progress.get(version.key) is version:
                self.in_progress.pop(version.key)
            source = self.alternative_sources.pop(version.key, None)
            if source is not None and version in missing:
                self.spawn(source, [version])

    async def fetch_batch(
        self,
        vm: 'VmId',
        missing: list[RegisterVersion],
    ) -> bool:
        """Request values once; return whether the reply had any."""
        outcome = await self.peers.request(
            vm,
            RegisterFetch(tuple(version.key for version in missing)),
            RegisterValues,
            FETCH_TIMEOUT_SECONDS,
        )
        if outcome.is_error():
            return False
        for keyed in outcome.ok.registers:
            self.put(keyed.key, keyed.register)
        return bool(outcome.ok.registers)
