"""Costs of the evaluation of a version move by number of reporters."""

from functools import partial
from typing import Final

from pollenloom.core.ids import RouteId, VmId
from pollenloom.moves.collected_evidence import CollectedEvidence
from pollenloom.moves.move_messages import EvidenceReport, RouteCounts
from pollenloom.moves.version_counts import VersionCounts
from pollenloom.peers.peer_codec import PeerCodec
from pollenloom.peers.peer_frame import FrameKind, PeerFrame
from pollenloom_standins.capacity.slope_table import SlopeTable, minimum_seconds

REPORTER_COUNTS: Final = (15, 75, 320)
ROUTES: Final = ('chat-completions', 'completions')
MICROSECONDS_PER_SECOND: Final = 1e6
CODEC: Final = PeerCodec(EvidenceReport)


def make_report() -> bytes:
    """Return the encoded frame of a report on both routes of a model."""
    report = EvidenceReport(
        register_key='move/service-0/v1-v2',
        reporter_start=1_893_456_000_000,
        test=1,
        routes=tuple(
            RouteCounts(
                RouteId(route),
                VersionCounts(100_000, 100, 1000),
                VersionCounts(2000, 2, 20),
            )
            for route in ROUTES
        ),
    )
    return CODEC.encode(PeerFrame(FrameKind.MESSAGE, 0, report))


def collect(reporters: int, encoded: bytes) -> None:
    """Decode a report from each reporter and add up the counts."""
    collected = CollectedEvidence()
    for number in range(reporters):
        report = CODEC.decode(encoded).message
        if isinstance(report, EvidenceReport):
            collected.put(VmId(f'router-{number:03}'), report)
    collected.total(1)


def measure_move_evaluation() -> SlopeTable:
    """Measure the evaluation at each number of reporters."""
    table = SlopeTable('judge of a move, each report period', 'reporters')
    encoded = make_report()
    for reporters in REPORTER_COUNTS:
        seconds = minimum_seconds(partial(collect, reporters, encoded))
        table.rows[reporters] = {
            'decode and add up us': MICROSECONDS_PER_SECOND * seconds,
            'bytes received': reporters * len(encoded),
        }
    return table
