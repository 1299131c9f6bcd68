"""Questions to all other routers."""

import asyncio
from typing import Final, TypeVar

from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.peers.peer_message import PeerMessage

ReplyT = TypeVar('ReplyT', bound=PeerMessage)

# An operator waits for the slowest router; a frozen one is DEAD after 3 s.
ANSWER_SECONDS: Final = 1.0


class FleetInquiry:
    """Asks all other routers at the same time."""

    def __init__(self, kernel: Kernel) -> None:
        self.dependencies = OperatorDependencies(kernel)

    def others(self) -> tuple[VmId, ...]:
        """Known members but this one."""
        membership = self.dependencies.membership
        own = membership.own.vm
        return tuple(
            member.vm for member in membership.members() if member.vm != own
        )

    async def ask(
        self,
        message: PeerMessage,
        reply_type: type[ReplyT],
    ) -> dict[VmId, ReplyT | None]:
        """Return the reply of each other router, None without one."""
        others = self.others()
        replies = await asyncio.gather(
            *(self.ask_one(vm, message, reply_type) for vm in others),
        )
        return dict(zip(others, replies, strict=True))

    async def ask_one(
        self,
        vm: VmId,
        message: PeerMessage,
        reply_type: type[ReplyT],
    ) -> ReplyT | None:
        """Return the reply of one router, None without one."""
        try:
            # The network may need the time to connect on top of its limit.
            async with asyncio.timeout(ANSWER_SECONDS):
                reply = await self.dependencies.peers.request(
                    vm,
                    message,
                    reply_type,
                    ANSWER_SECONDS,
                )
        except TimeoutError:
            return None
        return reply.default_value(None)
