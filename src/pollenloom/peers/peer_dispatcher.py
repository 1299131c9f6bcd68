"""Dispatch of received messages to the subscribed services."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from absl import logging

from pollenloom.core.ids import VmId
from pollenloom.peers.peer_codec import PeerCodec
from pollenloom.peers.peer_frame import (
    FrameKind,
    PeerFrame,
    UnknownMessageError,
)
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.pending_replies import PendingReplies

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.peers.peer_counters import PeerCounters

MessageHandler = Callable[[VmId, Any], None]
RequestHandler = Callable[[VmId, Any], Awaitable[PeerMessage]]
FrameSender = Callable[[VmId, PeerFrame], bool]


class PeerDispatcher:
    """Calls the handlers of each message type.

    An exception of one handler is logged and does not affect the others.
    """

    def __init__(
        self,
        kernel: 'Kernel',
        counters: 'PeerCounters',
        send_frame: FrameSender,
    ) -> None:
        self.kernel = kernel
        self.counters = counters
        self.send_frame = send_frame
        self.codec = PeerCodec()
        self.replies = PendingReplies()
        self.handlers: defaultdict[type, list[MessageHandler]] = defaultdict(
            list,
        )
        self.request_handlers: dict[type, RequestHandler] = {}

    def subscribe(
        self,
        message_type: type[PeerMessage],
        handler: MessageHandler,
    ) -> None:
        """Add a handler of messages of a type."""
        self.codec.register(message_type)
        self.handlers[message_type].append(handler)

    def set_request_handler(
        self,
        message_type: type[PeerMessage],
        handler: RequestHandler,
    ) -> None:
        """Set the handler of requests of a type.

        Raises:
            ValueError: If the type already has a handler.
        """
        self.codec.register(message_type)
        if message_type in self.request_handlers:
            raise ValueError(
                f'{message_type.__name__} already has a request handler'
            )
        self.request_handlers[message_type] = handler

    def receive(self, sender: VmId, encoded: bytes) -> None:
        """Decode and deliver a frame received from a peer.

        Raises:
            FrameError: If it is malformed or its message type is unknown.
        """
        self.counters.count_received(len(encoded))
        try:
            frame = self.codec.decode(encoded)
        except UnknownMessageError:
            # Services that have not started yet may still register the type.
            if len(self.kernel.started) == len(self.kernel.services):
                raise
            self.counters.unregistered += 1
            return
        self.deliver(sender, frame)

    def deliver(self, sender: VmId, frame: PeerFrame) -> None:
        """Pass a message to its handlers or to the waiting requester."""
        match frame.kind:
            case FrameKind.MESSAGE:
                self.handle(sender, frame.message)
            case FrameKind.REQUEST:
                self.kernel.spawn(
                    f'peer request {sender}',
                    self.serve_request(sender, frame),
                )
            case FrameKind.REPLY:
                self.replies.reply(sender, frame.correlation, frame.message)

    def handle(self, sender: VmId, message: PeerMessage) -> None:
        """Call the handlers of a message."""
        for handler in self.handlers.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception:
                log_fault(sender, message)

    async def serve_request(self, sender: VmId, frame: PeerFrame) -> None:
        """Call the request handler and send its reply.

        Sends none if there is no handler or it raises; the requester then
        runs into its timeout.
        """
        message = frame.message
        handler = self.request_handlers.get(type(message))
        if handler is None:
            logging.error('peer_request_unserved %s', type(message).__name__)
            return
        try:
            reply = await handler(sender, message)
        except Exception:
            log_fault(sender, message)
            return
        self.send_frame(
            sender,
            PeerFrame(FrameKind.REPLY, frame.correlation, reply),
        )


def log_fault(sender: VmId, message: PeerMessage) -> None:
    """Log the exception that a handler raised."""
    logging.exception(
        'peer_handler_failed %s from %s',
        type(message).__name__,
        sender,
    )
