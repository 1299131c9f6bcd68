"""Decides on the stage and the end of a version move."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from pollenloom.core.states import MoveState
from pollenloom.moves.evidence_verdict import EvidenceVerdict
from pollenloom.moves.move_record import MoveRecord, RouteEvidence
from pollenloom.moves.sequential_test import (
    FALSE_ALARM_RATE,
    SequentialTest,
    spent_false_alarm_rate,
)
from pollenloom.moves.version_counts import VersionCounts

if TYPE_CHECKING:
    from pollenloom.configuration.move_entry import MoveEntry
    from pollenloom.core.ids import RouteId, ServiceId

# Share of the traffic that the new version gets in each stage.
STAGE_SHARES: Final = (0.02, 0.1, 0.5, 1.0)
LAST_STAGE: Final = len(STAGE_SHARES) - 1
# Planned length of each stage before the last one, as a fraction of the whole
# move. The last stage gets the rest: a version that fails only after a while,
# or under full load, is detected there.
STAGE_TIME_FRACTION: Final = 0.2

CountsByRoute = Mapping['RouteId', VersionCounts]


@dataclass(frozen=True, slots=True)
class MoveEvidence:
    """Counts that a decision is based on.

    Attributes:
        old: Counts of the old version by route, over the whole move.
        new: Counts of the new version by route, since the test began.
    """

    old: CountsByRoute
    new: CountsByRoute


class MoveEvaluator:
    """Evaluates one move; holds no state between calls.

    Attributes:
        start: Configured start, Unix seconds.
        finish_by: Configured deadline, Unix seconds.
    """

    def __init__(self, service: 'ServiceId', entry: 'MoveEntry') -> None:
        self.service = service
        self.entry = entry
        start, finish_by = entry.window()
        self.start = start.timestamp()
        self.finish_by = finish_by.timestamp()

    def begin(self, now: float) -> MoveRecord:
        """Return the record of a move that begins now (Unix seconds)."""
        return MoveRecord(
            move=self.entry.name,
            service=self.service,
            from_version=self.entry.from_version,
            to_version=self.entry.to_version,
            state=MoveState.RUNNING,
            stage=0,
            since=now,
            decided_at=now,
            reason='started',
        )

    def decide(
        self,
        record: MoveRecord,
        evidence: MoveEvidence,
        now: float,
    ) -> MoveRecord:
        """Return the record that follows from the evidence at `now`.

        Args:
            record: Latest record.
            evidence: Counts by route.
            now: Wall time, Unix seconds.
        """
        if record.state is not MoveState.RUNNING:
            return record
        routes = self.evaluate_routes(record, evidence)
        bad = [
            route.route
            for route in routes
            if route.verdict == EvidenceVerdict.BAD.value
        ]
        if bad:
            reason = f'bad on route {", ".join(bad)}'
            return self.end(record, MoveState.REVERTED, reason, routes, now)
        is_good = bool(routes) and all(
            route.verdict == EvidenceVerdict.GOOD.value for route in routes
        )
        if now >= self.finish_by:
            return self.end_at_deadline(record, routes, now)
        if record.stage < LAST_STAGE:
            return self.decide_early_stage(record, routes, is_good, now)
        return self.decide_last_stage(record, routes, is_good, now)

    def decide_early_stage(
        self,
        record: MoveRecord,
        routes: tuple[RouteEvidence, ...],
        is_good: bool,
        now: float,
    ) -> MoveRecord:
        """Decide a stage before the last one.

        With little traffic, a verdict at 2% takes longer than the move may
        last, and a jump from 2% to all traffic at the end would be worse.
        The move therefore advances when the planned time of the stage is
        over, unless the counts make a bad version more likely.
        """
        planned_end = self.start + (record.stage + 1) * self.stage_seconds()
        is_due = (
            now >= planned_end
            and bool(routes)
            and not has_adverse_evidence(routes)
        )
        if is_good or is_due:
            return self.advance(record, routes, now)
        return record

    def decide_last_stage(
        self,
        record: MoveRecord,
        routes: tuple[RouteEvidence, ...],
        is_good: bool,
        now: float,
    ) -> MoveRecord:
        """Decide the last stage.

        It continues until shortly before the deadline, in one test after
        another: in a single test, earlier good responses would hide a
        version that becomes bad later.
        """
        if not is_good:
            return record
        if now >= self.finish_by - self.stage_seconds() / 2:
            return self.end(record, MoveState.DONE, 'proven good', routes, now)
        return msgspec.structs.replace(
            record,
            decided_at=now,
            evidence=routes,
            spent_tests=record.spent_tests + len(routes),
        )

    def evaluate_routes(
        self,
        record: MoveRecord,
        evidence: MoveEvidence,
    ) -> tuple[RouteEvidence, ...]:
        """Return the verdict for each route that the new version served."""
        evaluated: list[RouteEvidence] = []
        for number, route in enumerate(sorted(evidence.new)):
            test = SequentialTest(
                spent_false_alarm_rate(
                    FALSE_ALARM_RATE,
                    record.spent_tests + number,
                ),
            )
            old = evidence.old.get(route, VersionCounts())
            new = evidence.new[route]
            evaluated.append(
                RouteEvidence(
                    route=route,
                    old=old,
                    new=new,
                    verdict=test.verdict(old, new).value,
                ),
            )
        return tuple(evaluated)

    def advance(
        self,
        record: MoveRecord,
        routes: tuple[RouteEvidence, ...],
        now: float,
    ) -> MoveRecord:
        """Return the record of the next stage."""
        return msgspec.structs.replace(
            record,
            stage=record.stage + 1,
            since=now,
            decided_at=now,
            reason=f'good at {STAGE_SHARES[record.stage]:.0%}',
            evidence=routes,
            spent_tests=record.spent_tests + len(routes),
        )

    def end_at_deadline(
        self,
        record: MoveRecord,
        routes: tuple[RouteEvidence, ...],
        now: float,
    ) -> MoveRecord:
        """End a move whose deadline has passed.

        Without evidence against the new version the move is completed at
        the operator's deadline. It is reverted if the new version got no
        request at all before the last stage, since it is then unproven.
        """
        requests = sum(route.new.requests for route in routes)
        bad = sum(route.new.bad for route in routes)
        # In the last stage the version has passed all earlier tests.
        is_unproven = not requests and record.stage < LAST_STAGE
        if has_adverse_evidence(routes) or is_unproven:
            reason = f'not proven by the given time: {bad} bad of {requests}'
            return self.end(record, MoveState.REVERTED, reason, routes, now)
        return self.end(record, MoveState.DONE, 'time reached', routes, now)

    def end(
        self,
        record: MoveRecord,
        state: MoveState,
        reason: str,
        routes: tuple[RouteEvidence, ...],
        now: float,
    ) -> MoveRecord:
        """Return the record of a move that ends at `now` with `state`."""
        return msgspec.structs.replace(
            record,
            state=state,
            decided_at=now,
            reason=reason,
            evidence=routes,
        )

    def stage_seconds(self) -> float:
        """Return the planned length of a stage before the last one."""
        return (self.finish_by - self.start) * STAGE_TIME_FRACTION


def has_adverse_evidence(routes: tuple[RouteEvidence, ...]) -> bool:
    """Whether the counts of any route make a bad version more likely."""
    test = SequentialTest(FALSE_ALARM_RATE)
    return any(
        test.log_likelihood_ratio(route.old, route.new) > 0 for route in routes
    )


def traffic_share(record: MoveRecord | None) -> float:
    """Return the share of the traffic that the new version gets, 0 to 1.

    Without a record, the move has not started and the share is 0.
    """
    if record is None or record.state is MoveState.REVERTED:
        return 0
    if record.state is MoveState.DONE:
        return 1
    return STAGE_SHARES[record.stage]
