"""Interface of the network between routers."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import ClassVar, TypeVar

from expression import Result

from pollenloom.core.failure import Failure
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.peers.peer_message import PeerMessage

MessageT = TypeVar('MessageT', bound=PeerMessage)


class PeerNetwork(KernelService):
    """Sends typed messages to other routers, and to this one.

    Messages to one VM over one connection arrive in order or not at all.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.PEERS

    @abstractmethod
    def send(self, vm: VmId, message: PeerMessage) -> bool:
        """Queue a message; return whether it was queued.

        A message to this VM is delivered by the event loop after this call.
        """

    @abstractmethod
    async def request(
        self,
        vm: VmId,
        message: PeerMessage,
        reply_type: type[MessageT],
        timeout_seconds: float,
    ) -> Result[MessageT, Failure]:
        """Send a message and wait for the reply to it.

        Errors:
            PEER_UNAVAILABLE: The message was not sent.
            PEER_TIMEOUT: No reply came; the message may have been handled.
            PROTOCOL_ERROR: The reply has another type.
        """

    @abstractmethod
    def subscribe(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], None],
    ) -> None:
        """Call `handler(sender, message)` for each message of that type.

        Handlers run on the event loop and must not block. Subscribe before
        the network starts or in `start` of a service.
        """

    @abstractmethod
    def set_request_handler(
        self,
        message_type: type[MessageT],
        handler: Callable[[VmId, MessageT], Awaitable[PeerMessage]],
    ) -> None:
        """Set the handler of requests of that type; it returns the reply.

        Raises:
            ValueError: If the type already has a handler.
        """
