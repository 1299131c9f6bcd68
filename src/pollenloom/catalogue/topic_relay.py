"""Relay of store topics from one router of a data centre to the others."""

import asyncio
from collections.abc import Callable
from typing import ClassVar, Final

from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.catalogue.load_message import TopicUpdateMessage
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_state import TopicState, TopicUpdate
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

SEND_INTERVAL_SECONDS: Final = 0.1
# Larger updates of a topic are not sent; the receivers then read the store.
MAX_RECORDS_BYTES: Final = 32_768

UpdateListener = Callable[[TopicUpdate], None]


class TopicRelay(KernelService):
    """Sends what a collector has read from the store to its members.

    Calls to the store cost money. In a large fleet the collectors of load
    reports read the store for their data centre. A router that receives no
    fresh updates reads the store itself, so that no router depends on another.

    Attributes:
        states: State of each relayed topic.
        listeners: Called with updates of each relayed topic.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.TOPIC_RELAY

    def __init__(self, kernel: Kernel, vm: VmId) -> None:
        self.kernel = kernel
        self.vm = vm
        self.states: dict[StoreTopic, TopicState] = {}
        self.listeners: dict[StoreTopic, UpdateListener] = {}

    async def start(self) -> None:
        """Start to send and to receive updates."""
        self.exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE,
            LoadExchange,
        )
        self.exchange.relay_handlers[TopicUpdateMessage] = self.receive
        self.kernel.spawn('topic-relay', self.run())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the task."""

    def add_topic(
        self,
        topic: StoreTopic,
        state: TopicState,
        listener: UpdateListener,
    ) -> None:
        """Relay a topic, and pass received updates of it to the listener."""
        self.states[topic] = state
        self.listeners[topic] = listener

    @property
    def has_members(self) -> bool:
        """Whether other routers use this one as their collector."""
        return bool(self.exchange.members)

    def receive(self, message: TopicUpdateMessage) -> None:
        """Pass the updates of another router to the listeners."""
        for topic, update in message.topics.items():
            listener = self.listeners.get(topic)
            if listener is not None:
                listener(update)

    async def run(self) -> None:
        """Send updates to members periodically."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
            if self.has_members:
                self.send_updates(self.kernel.clock.monotonic())

    def send_updates(self, now: float) -> None:
        """Send the updates of all topics to members in one datagram."""
        topics: dict[StoreTopic, TopicUpdate] = {}
        for topic, state in self.states.items():
            update = state.make_update(now)
            if update is not None and is_small(update):
                topics[topic] = update
        if topics:
            message = TopicUpdateMessage(self.vm, topics)
            self.exchange.send(message, self.exchange.members)


def is_small(update: TopicUpdate) -> bool:
    """Whether an update fits into a datagram with those of other topics."""
    size = sum(len(record.payload) for record in update.records)
    return size <= MAX_RECORDS_BYTES
