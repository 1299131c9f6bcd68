"""Notices of who holds a duty, from router to router."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from pollenloom.catalogue.duty_messages import DutyNotice, DutyNoticesMessage
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.ids import VmId
from pollenloom.kernel.clock import Clock

if TYPE_CHECKING:
    from pollenloom.duties.duty import Duty

# Interval at which holders are told again, for lost datagrams and routers that
# have just started.
NOTICE_SECONDS: Final = 1.0


class DutyNotices:
    """Keeps the latest notice of each duty and passes it on.

    Attributes:
        known: Latest notice of each duty.
        has_changed: Set when a newer notice is to be passed on.
        on_notice: Called with each newer notice of another router.
    """

    def __init__(
        self,
        vm: VmId,
        clock: Clock,
        exchange: LoadExchange,
        on_notice: Callable[[DutyNotice], None],
    ) -> None:
        self.vm = vm
        self.clock = clock
        self.exchange = exchange
        self.on_notice = on_notice
        self.known: dict[Duty, DutyNotice] = {}
        self.has_changed = asyncio.Event()

    def learn(self, notice: DutyNotice) -> bool:
        """Keep a notice if it is newer; return whether it is."""
        known = self.known.get(notice.duty)
        if known and (notice.era, notice.end) <= (known.era, known.end):
            return False
        self.known[notice.duty] = notice
        self.has_changed.set()
        return True

    def receive(self, message: DutyNoticesMessage) -> None:
        """Learn what another router knows."""
        for notice in message.notices:
            if self.learn(notice):
                self.on_notice(notice)

    async def run(self) -> None:
        """Pass on changes at once, and what is known periodically."""
        while True:
            try:
                async with asyncio.timeout(NOTICE_SECONDS):
                    await self.has_changed.wait()
            except TimeoutError:
                """What is known is then sent again."""
            self.has_changed.clear()
            self.send(self.clock.monotonic())

    def send(self, now: float) -> None:
        """Send what this router has to tell.

        In a small fleet that is what it wrote itself. In a larger one the
        collectors pass on what they have heard.
        """
        passes_on = self.exchange.members or self.exchange.is_first_collector
        notices = [
            notice
            for notice in self.known.values()
            if passes_on or notice.holder == self.vm
        ]
        if notices:
            message = DutyNoticesMessage(self.vm, notices)
            self.exchange.send(message, self.exchange.relay_addresses(now))
