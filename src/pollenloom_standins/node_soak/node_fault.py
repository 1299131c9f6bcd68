"""Faults and planned operations of a round."""

from enum import Enum, unique

from pollenloom_standins.history.fault_span import FaultSpan


@unique
class NodeFaultKind(Enum):
    """What happens to a site."""

    NODE_KILL = 'node-kill'
    NODE_FREEZE = 'node-freeze'
    NODE_STOP = 'node-stop'
    STORE_DOWN = 'store-down'
    STORE_CUT = 'store-cut'
    STORE_CUT_ONE_WAY = 'store-cut-one-way'
    STORE_HELD = 'store-held'
    STORE_SLOW = 'store-slow'
    WORKER_CUT = 'worker-cut'
    WORKER_FAIL = 'worker-fail'
    WORKER_REJECT = 'worker-reject'
    WORKER_EXTRA = 'worker-extra'
    WORKER_SILENT = 'worker-silent'
    WORKER_LEAVES = 'worker-leaves'
    WORKER_CRASH = 'worker-crash'


class NodeFault(FaultSpan, kw_only=True):
    """A fault of a site."""

    kind: NodeFaultKind
