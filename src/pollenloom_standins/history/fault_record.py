"""Faults and planned operations of a round."""

from enum import Enum, unique

import msgspec


@unique
class FaultKind(Enum):
    """What the schedule does to a fleet."""

    ROUTER_KILLED = 'router-killed'
    ROUTER_FROZEN = 'router-frozen'
    ROUTER_RESTARTED = 'router-restarted'
    OWNER_KILLED = 'owner-killed'
    OWNER_FROZEN = 'owner-frozen'
    READER_KILLED = 'reader-killed'
    READER_FROZEN = 'reader-frozen'
    PLATFORM_DOWN = 'platform-down'
    PLATFORM_SLOW = 'platform-slow'
    PLATFORM_LOSES_ANSWERS = 'platform-loses-answers'
    PLATFORM_LOSES_APPENDS = 'platform-loses-appends'
    BACKEND_KILLED = 'backend-killed'
    BACKEND_COLD = 'backend-cold'
    BACKEND_LEAVING = 'backend-leaving'
    BACKEND_LEAVING_UNLISTED = 'backend-leaving-unlisted'
    ANSWERS_LATE = 'answers-late'
    ANSWERS_CROSSED = 'answers-crossed'
    ANSWERS_CUT = 'answers-cut'
    ANSWERS_DIED = 'answers-died'
    LINKS_CUT = 'links-cut'
    LINKS_CUT_ONE_WAY = 'links-cut-one-way'
    DATA_CENTRE_DRAINED = 'data-centre-drained'
    PUBLISH_RACE = 'publish-race'


class FaultRecord(msgspec.Struct, kw_only=True):
    """A fault from its start to its end, in wall time.

    Attributes:
        kind: What happened.
        target: VM or data centre that it happened to.
        started: When it was in force.
        ended: When its end began; 0 while it lasts.
        recovered: When the target served again; 0 before.
        list_lag_seconds: Lag of the platform's VM list meanwhile.
        exit_code: Exit code of a router that was stopped gracefully.
    """

    kind: FaultKind
    target: str
    started: float
    ended: float = 0
    recovered: float = 0
    list_lag_seconds: float = 0
    exit_code: int = 0

    def overlaps(self, start: float, end: float) -> bool:
        """Whether any of the fault falls between two times."""
        last = self.recovered or self.ended
        return self.started <= end and (not last or start <= last)
