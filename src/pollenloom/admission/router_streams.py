"""Conversations of a pool owner with all routers."""

from pollenloom.admission.router_stream import RouterStream
from pollenloom.core.ids import GrantId, VmId

# A message that was not acknowledged by then was lost with its connection.
ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 1.0


class RouterStreams:
    """One `RouterStream` for each router that stated demand.

    Attributes:
        streams: Conversations by router.
        highest_sent: Highest message number of all ended conversations. A
            router that was taken for dead drops what has a lower number than
            it has seen before.
    """

    def __init__(self) -> None:
        self.streams: dict[VmId, RouterStream] = {}
        self.highest_sent = 0

    def __getitem__(self, router: VmId) -> RouterStream:
        """Return the conversation with a router."""
        return self.streams[router]

    def get(self, router: VmId) -> RouterStream | None:
        """Return the conversation with a router, if there is one."""
        return self.streams.get(router)

    def routers(self) -> set[VmId]:
        """Routers with a conversation."""
        return set(self.streams)

    def start(self, router: VmId, stream: int) -> RouterStream:
        """Begin a conversation."""
        started = RouterStream(stream, sent=self.highest_sent)
        self.streams[router] = started
        return started

    def end(self, router: VmId) -> None:
        """Forget a conversation."""
        ended = self.streams.pop(router, None)
        if ended is not None:
            self.highest_sent = max(self.highest_sent, ended.sent)

    def unacknowledged(self, now: float) -> set[VmId]:
        """Routers that have waited long enough for an acknowledgement."""
        oldest = now - ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        return {
            router
            for router, stream in self.streams.items()
            if stream.unacknowledged_since <= oldest
        }

    def remove_lost(self, now: float) -> list[GrantId]:
        """Forget and return grants that were not acknowledged in time."""
        oldest = now - ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        return [
            grant_id
            for stream in self.streams.values()
            for grant_id in stream.remove_lost(oldest)
        ]
