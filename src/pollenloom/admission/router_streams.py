"""Message streams between a pool owner and all routers."""

from pollenloom.admission.router_stream import RouterStream
from pollenloom.core.ids import GrantId, VmId

# A message that is not acknowledged by then counts as lost with its
# connection.
ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 1.0


class RouterStreams:
    """One `RouterStream` for each router that reported demand or grants.

    Attributes:
        streams: Streams by router.
        highest_sent: Highest message number of all ended streams; new ones
            continue from it. A router that was only presumed dead drops
            messages with lower numbers than it has seen.
    """

    def __init__(self) -> None:
        self.streams: dict[VmId, RouterStream] = {}
        self.highest_sent = 0

    def __getitem__(self, router: VmId) -> RouterStream:
        """Return the stream of a router."""
        return self.streams[router]

    def get(self, router: VmId) -> RouterStream | None:
        """Return the stream of a router, or None."""
        return self.streams.get(router)

    def routers(self) -> set[VmId]:
        """Routers that have a stream."""
        return set(self.streams)

    def start(self, router: VmId, stream: int) -> RouterStream:
        """Start a stream for a run of a router process."""
        started = RouterStream(stream, sent=self.highest_sent)
        self.streams[router] = started
        return started

    def end(self, router: VmId) -> None:
        """Remove the stream of a router, if there is one."""
        ended = self.streams.pop(router, None)
        if ended is not None:
            self.highest_sent = max(self.highest_sent, ended.sent)

    def unacknowledged(self, now: float) -> set[VmId]:
        """Routers whose messages have waited too long for acknowledgement."""
        oldest = now - ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        return {
            router
            for router, stream in self.streams.items()
            if stream.unacknowledged_since <= oldest
        }

    def remove_lost(self, now: float) -> list[GrantId]:
        """Remove and return grants that were not acknowledged in time."""
        oldest = now - ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        return [
            grant_id
            for stream in self.streams.values()
            for grant_id in stream.remove_lost(oldest)
        ]
