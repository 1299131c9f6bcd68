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
    """One request.

    Attributes:
        vm: Where it goes; only this VM may reply.
        sent: Whether it may have left this VM.
        future: Set to the reply or the failure.
    """

    vm: 'VmId'
    sent: bool = False
    future: asyncio.Future[ReplyResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )

    def resolve(self, outcome: ReplyResult) -> None:
        """Wake the requester, unless it gave up."""
        if not self.future.done():
            self.future.set_result(outcome)

    def fail(self, detail: str) -> None:
        """Fail with the kind that tells whether it may have been handled."""
        kind = ErrorKind.PEER_UNAVAILABLE
        if self.sent:
            kind = ErrorKind.PEER_TIMEOUT
        self.resolve(Error(Failure(kind, detail)))


class PendingReplies:
    """All requests of this VM by correlation number."""

    def __init__(self) -> None:
        self.last_correlation = 0
        self.pending: dict[int, PendingReply] = {}

    def add(self, vm: 'VmId') -> int:
        """Return the correlation number of a new request."""
        self.last_correlation += 1
        self.pending[self.last_correlation] = PendingReply(vm)
        return self.last_correlation

    async def wait(
        self,
        correlation: int,
        timeout_seconds: float,
    ) -> ReplyResult:
        """Return the reply or why there is none, and forget the request."""
        pending = self.pending[correlation]
        with ExitStack() as cleanup:
            cleanup.callback(self.pending.pop, correlation, None)
            await asyncio.wait((pending.future,), timeout=timeout_seconds)
        pending.fail(f'no reply in {timeout_seconds} s')
        return pending.future.result()

    def mark_sent(self, correlation: int) -> None:
        """Note that the other side may handle the request from now on."""
        pending = self.pending.get(correlation)
        if pending is not None:
            pending.sent = True

    def reply(
        self,
        vm: 'VmId',
        correlation: int,
        message: 'PeerMessage',
    ) -> None:
        """Pass a reply on; a late one or one of another VM is dropped."""
        pending = self.pending.get(correlation)
        if pending is not None and pending.vm == vm:
            pending.resolve(Ok(message))

    def fail(self, correlation: int, detail: str) -> None:
        """Fail one request."""
        pending = self.pending.get(correlation)
        if pending is not None:
            pending.fail(detail)

    def connection_lost(self, vm: 'VmId') -> None:
        """Fail the requests that went over a lost connection."""
        for pending in self.pending.values():
            if pending.vm == vm and pending.sent:
                pending.fail('connection lost')
