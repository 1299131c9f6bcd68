"""Messages and log records about version moves."""

import msgspec

from pollenloom.core.ids import RouteId
from pollenloom.log_service.log_entry import LogEntry
from pollenloom.moves.move_record import MoveRecord
from pollenloom.moves.version_counts import VersionCounts
from pollenloom.peers.peer_message import PeerMessage


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of both versions on one route."""

    route: RouteId
    old: VersionCounts
    new: VersionCounts


class EvidenceReport(PeerMessage, frozen=True, tag='evidence'):
    """Counts of one router, sent to the VM that evaluates the move.

    Attributes:
        register_key: Key of the move's register.
        reporter_start: Start of the sending process, Unix milliseconds;
            separates counts from before and after a restart.
        test: Number of the test that the counts of the new version belong to.
        routes: Cumulative counts by route.
    """

    register_key: str
    reporter_start: int
    test: int
    routes: tuple[RouteCounts, ...]


class MoveLogEntry(LogEntry, frozen=True, kw_only=True, tag='move'):
    """State of a move, kept in the log for a fleet that restarts as a whole."""

    record: MoveRecord
