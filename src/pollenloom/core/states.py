"""Enumerations of states."""

from enum import Enum, unique


@unique
class Resource(Enum):
    """Kind of capacity that a service consumes, with its cost unit."""

    MODEL = 'model'  # cost unit: tokens
    APPLICATION = 'application'  # cost unit: calls


@unique
class Outcome(Enum):
    """How the use of a grant ended."""

    SERVED = 'served'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNUSED = 'unused'
    CANCELLED = 'cancelled'


@unique
class MemberState(Enum):
    """State of a VM as seen by the membership protocol."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@unique
class DataCentreState(Enum):
    """Whether a data centre may receive new work."""

    IN_SERVICE = 'in_service'
    OUT = 'out'


@unique
class VmRole(Enum):
    """Role of a VM in the platform's list."""

    ROUTER = 'router'
    BACKEND = 'backend'


@unique
class VmListState(Enum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@unique
class MoveState(Enum):
    """State of a version move."""

    RUNNING = 'running'
    DONE = 'done'
    REVERTED = 'taken_back'


@unique
class RunStatus(Enum):
    """Whether a rejected or failed request was run by a backend server."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'
