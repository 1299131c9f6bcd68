"""Register service that replicates values over the membership links."""

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
from pollenloom.peers.observable_peer_network import ObservablePeerNetwork

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.settings.router_settings import RouterSettings

RegisterListener = Callable[[str, RegisterValue], None]

# Changes within this time are offered in one message.
COALESCE_SECONDS = 0.02
# Largest number of peers to compare registers with after links changed.
MAX_PEERS_COMPARED = 3


class RegisterStore(Registers):
    """Replicates registers over the links of the membership.

    A change is offered on the links. A router that lacks the version
    fetches it from the sender of the offer and then offers it on its links.

    Attributes:
        watchers: Key prefixes and their listeners.
        pending_offers: Changed versions that are not offered yet, by key.
        holders: Routers that are known to have a pending version, by key.
        previous_links: Links at the latest change of the membership.
    """

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel
        self.table = RegisterTable()
        self.watchers: list[tuple[str, RegisterListener]] = []
        self.pending_offers: dict[str, RegisterVersion] = {}
        self.holders: defaultdict[str, set[VmId]] = defaultdict(set)
        self.has_pending_offers = asyncio.Event()
        self.comparison = DigestComparison()
        self.previous_links: frozenset[VmId] = frozenset()
        self.peers = kernel.find(
            KernelServiceName.PEERS,
            # The kernel only checks the type and creates no instance.
            ObservablePeerNetwork,
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
        """Return the service; it has no settings of its own."""
        return cls(kernel)

    async def start(self) -> None:
        """Subscribe to messages and start to offer registers."""
        self.peers.subscribe(Heartbeat, self.heartbeat_received)
        self.peers.subscribe(RegisterDigest, self.digest_received)
        self.peers.subscribe(RegisterOffer, self.offer_received)
        self.peers.set_request_handler(RegisterFetch, self.fetch_received)
        self.membership.add_listener(self.links_changed)
        self.links_changed()
        self.kernel.spawn('register offers', self.run_offers())

    async def stop(self) -> None:
        """Do nothing; the kernel cancels the tasks."""

    def get(self, key: str) -> RegisterValue | None:
        """Return the value of `key`, or None if no value is known."""
        return self.table.registers.get(key)

    def keys(self, prefix: str) -> tuple[str, ...]:
        """Known keys that start with `prefix`, sorted."""
        return tuple(
            sorted(
                key for key in self.table.registers if key.startswith(prefix)
            ),
        )

    def put(self, key: str, register: RegisterValue) -> bool:
        """Set a value and replicate it; return whether it was newer.

        Raises:
            ValueError: If the payload is larger than 1,000,000 bytes.
        """
        if not self.table.put(key, register):
            return False
        self.membership.set_register_digest(self.table.digest)
        self.pending_offers[key] = version_of(key, register)
        self.holders.pop(key, None)
        self.has_pending_offers.set()
        for prefix, listener in self.watchers:
            if key.startswith(prefix):
                notify_listener(listener, key, register)
        return True

    def watch(self, prefix: str, listener: RegisterListener) -> None:
        """Call `listener(key, value)` for known values and each newer one."""
        self.watchers.append((prefix, listener))
        for key in self.keys(prefix):
            notify_listener(listener, key, self.table.registers[key])

    async def run_offers(self) -> None:
        """Offer changes on the links until cancelled."""
        while True:
            await self.has_pending_offers.wait()
            await asyncio.sleep(COALESCE_SECONDS)
            self.has_pending_offers.clear()
            offer = RegisterOffer(tuple(self.pending_offers.values()))
            # Routers that have offered all these versions need no offer.
            holders = set.intersection(
                *[self.holders[key] for key in self.pending_offers],
            )
            self.pending_offers.clear()
            self.holders.clear()
            self.peers.send_all(self.membership.links() - holders, offer)

    def links_changed(self) -> None:
        """Compare registers with some of the newly linked routers."""
        links = self.membership.links()
        new_links = links - self.previous_links
        self.previous_links = links
        chosen = sorted(new_links)
        random.shuffle(chosen)
        digest = RegisterDigest(self.table.digest)
        self.peers.send_all(chosen[:MAX_PEERS_COMPARED], digest)

    def heartbeat_received(self, sender: VmId, heartbeat: Heartbeat) -> None:
        """Request an offer if registers differ for several heartbeats.

        This recovers versions whose offers were lost with a connection.
        """
        is_same = heartbeat.register_digest == self.table.digest
        if self.comparison.is_due(sender, is_same=is_same):
            self.peers.send(sender, RegisterDigest(self.table.digest))

    def digest_received(self, sender: VmId, message: RegisterDigest) -> None:
        """Offer all registers if those of the sender differ."""
        if message.digest != self.table.digest:
            offer = RegisterOffer(self.table.versions(), is_complete=True)
            self.peers.send(sender, offer)

    def offer_received(self, sender: VmId, offer: RegisterOffer) -> None:
        """Fetch the newer versions, and offer those that the sender lacks."""
        self.fetcher.handle_offer(sender, offer.versions)
        for version in offer.versions:
            pending_offer = self.pending_offers.get(version.key)
            if pending_offer and rank(version) >= rank(pending_offer):
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
        """Return the requested values, as many as fit into a frame."""
        return RegisterValues(self.table.batch(fetch.keys))


def notify_listener(
    listener: RegisterListener,
    key: str,
    register: RegisterValue,
) -> None:
    """Call a listener; an error is logged and skips no other listener."""
    try:
        listener(key, register)
    except Exception:
        logging.exception('register_listener_failed %s', key)
