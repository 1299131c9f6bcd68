"""Requests that wait for their replies."""

import asyncio
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.peers.peer_message import PeerMessage

ReplyResult = Result['PeerMessage', Failure]


@dataclass(slots=True, eq=False)
class PendingReply:
    """A request that waits for its reply.

    Attributes:
        vm: VM that gets the request; replies of other VMs are ignored.
        sent: Whether the request may have left this VM.
        future: Resolved with the reply or the failure.
    """

    vm: 'VmId'
    sent: bool = False
    future: asyncio.Future[ReplyResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )

    def resolve(self, outcome: ReplyResult) -> None:
        """Wake the requester, unless the request is already resolved."""
        if not self.future.done():
            self.future.set_result(outcome)

    def fail(self, detail: str) -> None:
        """Resolve the request with a failure.

        The kind is PEER_TIMEOUT if the request may have been handled, else
        PEER_UNAVAILABLE.
        """
        kind = ErrorKind.PEER_UNAVAILABLE
        if self.sent:
            kind = ErrorKind.PEER_TIMEOUT
        self.resolve(Error(Failure(kind, detail)))


class PendingReplies:
    """Pending requests of this VM by correlation number."""

    def __init__(self) -> None:
        self.last_correlation = 0
        self.pending: dict[int, PendingReply] = {}

    def add(self, vm: 'VmId') -> int:
        """Add a request and return its correlation number."""
        self.last_correlation += 1
        self.pending[self.last_correlation] = PendingReply(vm)
        return self.last_correlation

    async def wait(
        self,
        correlation: int,
        timeout_seconds: float,
    ) -> ReplyResult:
        """Return the reply or the failure, and remove the request."""
        pending = self.pending[correlation]
        with ExitStack() as cleanup:
            cleanup.callback(self.pending.pop, correlation, None)
            await asyncio.wait((pending.future,), timeout=timeout_seconds)
        pending.fail(f'no reply in {timeout_seconds} s')
        return pending.future.result()

    def mark_sent(self, correlation: int) -> None:
        """Record that the other side may handle the request from now on."""
        pending = self.pending.get(correlation)
        if pending is not None:
            pending.sent = True

    def reply(
        self,
        vm: 'VmId',
        correlation: int,
        message: 'PeerMessage',
    ) -> None:
        """Resolve a request; a late reply or one of another VM is dropped."""
        pending = self.pending.get(correlation)
        if pending is not None and pending.vm == vm:
            pending.resolve(Ok(message))

    def fail(self, correlation: int, detail: str) -> None:
        """Fail one request."""
        pending = self.pending.get(correlation)
        if pending is not None:
            pending.fail(detail)

    def connection_lost(self, vm: 'VmId') -> None:
        """Fail the requests that were sent to a VM whose connection is lost."""
        for pending in self.pending.values():
            if pending.vm == vm and pending.sent:
                pending.fail('connection lost')
