"""Decides stage and end of a version move."""

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

# Part of the traffic that the new version gets in each stage.
STAGE_SHARES: Final = (0.02, 0.1, 0.5, 1.0)
LAST_STAGE: Final = len(STAGE_SHARES) - 1
# Part of the time of a move that is kept for the last stage: a version that
# only fails after a while, or under full load, shows there.
HOLD_PART: Final = 0.2

CountsByRoute = Mapping['RouteId', VersionCounts]


@dataclass(frozen=True, slots=True)
class MoveEvidence:
    """Counts since the stage began.

    Attributes:
        old: Counts of the old version by route, over the whole move.
        new: Counts of the new version by route, since the stage began.
    """

    old: CountsByRoute
    new: CountsByRoute


class MoveEvaluator:
    """Judges one move; keeps nothing between calls."""

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
            record: State so far.
            evidence: Counts by route.
            now: Wall time, Unix seconds.
        """
        if record.state is not MoveState.RUNNING:
            return record
        routes = self.judge_routes(record, evidence)
        bad = [
            route.route
            for route in routes
            if route.verdict == EvidenceVerdict.BAD.value
        ]
        if bad:
            reason = f'bad on route {", ".join(bad)}'
            return self.end(record, MoveState.TAKEN_BACK, reason, routes, now)
        is_good = bool(routes) and all(
            route.verdict == EvidenceVerdict.GOOD.value for route in routes
        )
        if now >= self.finish_by:
            return self.end_in_time(record, routes, now)
        if record.stage < LAST_STAGE:
            return self.pass_stage(record, routes, is_good, now)
        return self.hold(record, routes, is_good, now)

    def pass_stage(
        self,
        record: MoveRecord,
        routes: tuple[RouteEvidence, ...],
        is_good: bool,
        now: float,
    ) -> MoveRecord:
        """Decide a stage before the last one.

        With little traffic a proof at 2% takes too long for the given time,
        and a jump from 2% to all of it at the end would be worse. So the
        move goes on when time runs short and nothing looks bad.
        """
        planned = self.start + (record.stage + 1) * self.hold_seconds()
        is_due = now >= planned and bool(routes) and not is_suspect(routes)
        if is_good or is_due:
            return self.advance(record, routes, now)
        return record

    def hold(
        self,
        record: MoveRecord,
        routes: tuple[RouteEvidence, ...],
        is_good: bool,
        now: float,
    ) -> MoveRecord:
        """Decide the last stage.

        It goes on almost until the given time, in one test after the other:
        a version that turns bad later would hide behind its good start.
        """
        if not is_good:
            return record
        if now >= self.finish_by - self.hold_seconds() / 2:
            return self.end(record, MoveState.DONE, 'proven good', routes, now)
        return msgspec.structs.replace(
            record,
            decided_at=now,
            evidence=routes,
            spent_tests=record.spent_tests + len(routes),
        )

    def judge_routes(
        self,
        record: MoveRecord,
        evidence: MoveEvidence,
    ) -> tuple[RouteEvidence, ...]:
        """Return the verdict for each route that the new version served."""
        judged: list[RouteEvidence] = []
        for number, route in enumerate(sorted(evidence.new)):
            test = SequentialTest(
                spent_false_alarm_rate(
                    FALSE_ALARM_RATE,
                    record.spent_tests + number,
                ),
            )
            old = evidence.old.get(route, VersionCounts())
            new = evidence.new[route]
            judged.append(
                RouteEvidence(
                    route=route,
                    old=old,
                    new=new,
                    verdict=test.verdict(old, new).value,
                ),
            )
        return tuple(judged)

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

    def end_in_time(
        self,
        record: MoveRecord,
        routes: tuple[RouteEvidence, ...],
        now: float,
    ) -> MoveRecord:
        """End a move whose time has come.

        Without any evidence against the new version the operator's time
        counts; a version that got no request at all is not proven.
        """
        requests = sum(route.new.requests for route in routes)
        bad = sum(route.new.bad for route in routes)
        # In the last stage the version has passed all earlier tests.
        is_unproven = not requests and record.stage < LAST_STAGE
        if is_suspect(routes) or is_unproven:
            reason = f'not proven by the given time: {bad} bad of {requests}'
            return self.end(record, MoveState.TAKEN_BACK, reason, routes, now)
        return self.end(record, MoveState.DONE, 'time reached', routes, now)

    def end(
        self,
        record: MoveRecord,
        state: MoveState,
        reason: str,
        routes: tuple[RouteEvidence, ...],
        now: float,
    ) -> MoveRecord:
        """Return the final record."""
        return msgspec.structs.replace(
            record,
            state=state,
            decided_at=now,
            reason=reason,
            evidence=routes,
        )

    def hold_seconds(self) -> float:
        """Return the time that is kept for the last stage."""
        return (self.finish_by - self.start) * HOLD_PART


def is_suspect(routes: tuple[RouteEvidence, ...]) -> bool:
    """Whether the counts of any route speak against the new version."""
    test = SequentialTest(FALSE_ALARM_RATE)
    return any(
        test.log_likelihood_ratio(route.old, route.new) > 0 for route in routes
    )


def share_of(record: MoveRecord | None) -> float:
    """Return the part of the traffic that the new version gets, 0 to 1."""
    if record is None or record.state is MoveState.TAKEN_BACK:
        return 0
    if record.state is MoveState.DONE:
        return 1
    return STAGE_SHARES[record.stage]
