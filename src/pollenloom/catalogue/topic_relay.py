"""Passes on what one router of a data centre reads in the store."""

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

TELL_SECONDS: Final = 0.1
# More is not told; routers that miss it ask the store.
MOST_RECORDS_BYTES: Final = 32_768

Hear = Callable[[TopicUpdate], None]


class TopicRelay(KernelService):
    """Tells the members of a collector what it knows of the store.

    Calls of the store cost money. In a large fleet the collectors of load
    reports read for their data centre; who hears nothing fresh reads itself,
    so no router depends on another one.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.TOPIC_RELAY

    def __init__(self, kernel: Kernel, vm: VmId) -> None:
        self.kernel = kernel
        self.vm = vm
        self.states: dict[StoreTopic, TopicState] = {}
        self.listeners: dict[StoreTopic, Hear] = {}

    async def start(self) -> None:
        """Start to tell and to hear."""
        self.exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE,
            LoadExchange,
        )
        self.exchange.on_news = self.hear
        self.kernel.spawn('topic-relay', self.run())

    async def stop(self) -> None:
        """Nothing beside the kernel's tasks."""

    def follow(
        self,
        topic: StoreTopic,
        state: TopicState,
        listener: Hear,
    ) -> None:
        """Pass a topic on, and call the listener with what others tell."""
        self.states[topic] = state
        self.listeners[topic] = listener

    @property
    def has_members(self) -> bool:
        """Whether other routers rely on what this one reads."""
        return bool(self.exchange.members)

    def hear(self, message: TopicUpdateMessage) -> None:
        """Take what another router tells."""
        for topic, update in message.topics.items():
            listener = self.listeners.get(topic)
            if listener is not None:
                listener(update)

    async def run(self) -> None:
        """Tell members again and again."""
        while True:
            await asyncio.sleep(TELL_SECONDS)
            if self.has_members:
                self.tell(self.kernel.clock.monotonic())

    def tell(self, now: float) -> None:
        """Send what is known of all topics in one datagram."""
        topics: dict[StoreTopic, TopicUpdate] = {}
        for topic, state in self.states.items():
            update = state.make_update(now)
            if update is not None and is_small(update):
                topics[topic] = update
        if topics:
            message = TopicUpdateMessage(self.vm, topics)
            self.exchange.send(message, self.exchange.members)


def is_small(update: TopicUpdate) -> bool:
    """Whether the records of a topic fit into a datagram with others."""
    size = sum(len(record.payload) for record in update.records)
    return size <= MOST_RECORDS_BYTES
