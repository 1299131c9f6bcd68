"""The register service."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING

from absl import logging

from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.digest_comparison import DigestComparison
from pollenloom.membership.gossip_membership import GossipMembership
from pollenloom.membership.membership_messages import Heartbeat
from pollenloom.membership.register_fetcher import RegisterFetcher
from pollenloom.membership.register_messages import (
    RegisterDigest,
    RegisterFetch,
    RegisterOffer,
    RegisterValues,
    RegisterVersion,
)
from pollenloom.membership.register_table import (
    RegisterTable,
    rank,
    version_of,
)
from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers
from pollenloom.peers.peer_links import PeerLinks

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.settings.router_settings import RouterSettings

RegisterListener = Callable[[str, RegisterValue], None]

# Changes of one moment are offered in one message.
COALESCE_SECONDS = 0.02
# Peers that a router compares with when links are new.
FIRST_COMPARED = 3


class RegisterStore(Registers):
    """Spreads registers over the links of the membership.

    A change is offered on the links. A router that lacks the version
    fetches it from the one that offered it, and offers it on in turn.
    """

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel
        self.table = RegisterTable()
        self.watchers: list[tuple[str, RegisterListener]] = []
        self.unoffered: dict[str, RegisterVersion] = {}
        self.holders: defaultdict[str, set[VmId]] = defaultdict(set)
        self.has_unoffered = asyncio.Event()
        self.comparison = DigestComparison()
        self.linked: frozenset[VmId] = frozenset()
        self.peers = kernel.find(
            KernelServiceName.PEERS,
            # The kernel only checks the type and makes no instance.
            PeerLinks,
        )
        self.membership = kernel.find(
            KernelServiceName.MEMBERSHIP,
            GossipMembership,
        )
        self.fetcher = RegisterFetcher(
            kernel,
            self.peers,
            self.table,
            self.put,
        )

    @classmethod
    def from_config(
        cls,
        kernel: 'Kernel',
        settings: 'RouterSettings',
    ) -> 'RegisterStore':
        """Make the store of a router; it has no settings of its own."""
        return cls(kernel)

    async def start(self) -> None:
        """Start to offer and compare registers."""
        self.peers.subscribe(Heartbeat, self.heartbeat_received)
        self.peers.subscribe(RegisterDigest, self.digest_received)
        self.peers.subscribe(RegisterOffer, self.offer_received)
        self.peers.answer(RegisterFetch, self.fetch_received)
        self.membership.watch(self.links_changed)
        self.links_changed()
        self.kernel.spawn('register offers', self.run_offers())

    async def stop(self) -> None:
        """Nothing to release."""

    def get(self, key: str) -> RegisterValue | None:
        """Return the value of `key`, if any is known."""
        return self.table.registers.get(key)

    def keys(self, prefix: str) -> tuple[str, ...]:
        """Known keys that start with `prefix`, sorted."""
        return tuple(
            sorted(
                key for key in self.table.registers if key.startswith(prefix)
            ),
        )

    def put(self, key: str, register: RegisterValue) -> bool:
        """Set a value and spread it; return whether it was newer.

        Raises:
            ValueError: If the payload is larger than 1,000,000 bytes.
        """
        if not self.table.put(key, register):
            return False
        self.membership.announce_registers(self.table.digest)
        self.unoffered[key] = version_of(key, register)
        self.holders.pop(key, None)
        self.has_unoffered.set()
        for prefix, listener in self.watchers:
            if key.startswith(prefix):
                tell(listener, key, register)
        return True

    def watch(self, prefix: str, listener: RegisterListener) -> None:
        """Call `listener(key, value)` for known and newer values."""
        self.watchers.append((prefix, listener))
        for key in self.keys(prefix):
            tell(listener, key, self.table.registers[key])

    async def run_offers(self) -> None:
        """Offer changes on the links."""
        while True:
            await self.has_unoffered.wait()
            await asyncio.sleep(COALESCE_SECONDS)
            self.has_unoffered.clear()
            offer = RegisterOffer(tuple(self.unoffered.values()))
            # Routers that offered all of it themselves need no offer.
            holders = set.intersection(
                *[self.holders[key] for key in self.unoffered],
            )
            self.unoffered.clear()
            self.holders.clear()
            self.peers.send_all(self.membership.links() - holders, offer)

    def links_changed(self) -> None:
        """Compare with some of the routers that links are new to."""
        links = self.membership.links()
        new_links = links - self.linked
        self.linked = links
        chosen = sorted(new_links)
        random.shuffle(chosen)
        digest = RegisterDigest(self.table.digest)
        self.peers.send_all(chosen[:FIRST_COMPARED], digest)

    def heartbeat_received(self, sender: VmId, heartbeat: Heartbeat) -> None:
        """Ask for an offer if registers differ for some heartbeats.

        This repairs what got lost with a connection.
        """
        is_same = heartbeat.register_digest == self.table.digest
        if self.comparison.is_due(sender, is_same=is_same):
            self.peers.send(sender, RegisterDigest(self.table.digest))

    def digest_received(self, sender: VmId, message: RegisterDigest) -> None:
        """Offer all registers if the sender's differ."""
        if message.digest != self.table.digest:
            offer = RegisterOffer(self.table.versions(), is_complete=True)
            self.peers.send(sender, offer)

    def offer_received(self, sender: VmId, offer: RegisterOffer) -> None:
        """Fetch what is newer here, and offer what the sender lacks."""
        self.fetcher.offered(sender, offer.versions)
        for version in offer.versions:
            unoffered = self.unoffered.get(version.key)
            if unoffered and rank(version) >= rank(unoffered):
                self.holders[version.key].add(sender)
        if offer.is_complete:
            newer = self.table.newer_than(offer.versions)
            if newer:
                self.peers.send(sender, RegisterOffer(newer))

    async def fetch_received(
        self,
        sender: VmId,
        fetch: RegisterFetch,
    ) -> RegisterValues:
        """Return the values that a router asks for."""
        return RegisterValues(self.table.batch(fetch.keys))


def tell(
    listener: RegisterListener,
    key: str,
    register: RegisterValue,
) -> None:
    """Call a listener; one that raises harms no other one."""
    try:
        listener(key, register)
    except Exception:
        logging.exception('register_listener_failed %s', key)
