"""Faults and planned operations of a round."""

from enum import Enum, unique

from pollenloom_standins.history.fault_span import FaultSpan


@unique
class FaultKind(Enum):
    """Kinds of faults and planned operations."""

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


class FaultRecord(FaultSpan, kw_only=True):
    """A fault of the product's fleet.

    Attributes:
        kind: Kind of the fault.
        list_lag_seconds: Lag of the platform's VM list during the fault.
    """

    kind: FaultKind
    list_lag_seconds: float = 0
