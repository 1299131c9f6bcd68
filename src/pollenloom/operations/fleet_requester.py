"""Requests to all other routers."""

import asyncio
from typing import Final, TypeVar

from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.peers.peer_message import PeerMessage

ReplyT = TypeVar('ReplyT', bound=PeerMessage)

# An operator waits for the slowest router. A frozen router does not reply, but
# is a member until the membership declares it DEAD after 3 s.
REPLY_TIMEOUT_SECONDS: Final = 1.0


class FleetRequester:
    """Sends a request to all other routers concurrently."""

    def __init__(self, kernel: Kernel) -> None:
        self.dependencies = OperatorDependencies(kernel)

    def other_routers(self) -> tuple[VmId, ...]:
        """Return the VM ids of all known members except this router."""
        membership = self.dependencies.membership
        local_vm = membership.local_member.vm
        return tuple(
            member.vm
            for member in membership.members()
            if member.vm != local_vm
        )

    async def request_all(
        self,
        message: PeerMessage,
        reply_type: type[ReplyT],
    ) -> dict[VmId, ReplyT | None]:
        """Return the replies by VM; None for a router without one in time."""
        other_routers = self.other_routers()
        replies = await asyncio.gather(
            *(
                self.request_one(vm, message, reply_type)
                for vm in other_routers
            ),
        )
        return dict(zip(other_routers, replies, strict=True))

    async def request_one(
        self,
        vm: VmId,
        message: PeerMessage,
        reply_type: type[ReplyT],
    ) -> ReplyT | None:
        """Return the reply of one router; None if none came in time."""
        try:
            # The network may need time to connect in addition to its timeout.
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                reply = await self.dependencies.peers.request(
                    vm,
                    message,
                    reply_type,
                    REPLY_TIMEOUT_SECONDS,
                )
        except TimeoutError:
            return None
        return reply.default_value(None)
