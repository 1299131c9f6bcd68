"""Faults and planned operations of a round."""

from enum import Enum, unique

from pollenloom_standins.history.fault_span import FaultSpan


@unique
class NodeFaultKind(Enum):
    """Kinds of faults and planned operations."""

    NODE_KILL = 'node-kill'
    NODE_FREEZE = 'node-freeze'
    NODE_STOP = 'node-stop'
    STORE_DOWN = 'store-down'
    STORE_CUT = 'store-cut'
    STORE_CUT_ONE_WAY = 'store-cut-one-way'
    STORE_HELD = 'store-held'
    STORE_SLOW = 'store-slow'
    STORE_RESTORED = 'store-restored'
    BACKEND_CUT = 'worker-cut'
    BACKEND_FAIL = 'worker-fail'
    BACKEND_REJECT = 'worker-reject'
    BACKEND_EXTRA = 'worker-extra'
    BACKEND_SILENT = 'worker-silent'
    BACKEND_LEAVES = 'worker-leaves'
    BACKEND_CRASH = 'worker-crash'
    BACKEND_LIMITED = 'worker-limited'


class NodeFaultRecord(FaultSpan, kw_only=True):
    """Record of a fault of a round."""

    kind: NodeFaultKind
