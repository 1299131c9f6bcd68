"""All faults of a round; their order decides what a seed draws."""

from typing import Final

from pollenloom_standins.node_soak.backend_faults import (
    BackendCrash,
    BackendResponseFault,
    LeavingBackendFault,
)
from pollenloom_standins.node_soak.injected_fault import InjectedFault
from pollenloom_standins.node_soak.node_fault_record import NodeFaultKind
from pollenloom_standins.node_soak.node_faults import (
    NodeFreeze,
    NodeKill,
    NodeReload,
    NodeStop,
)
from pollenloom_standins.node_soak.soak_backend import ResponseFault
from pollenloom_standins.node_soak.store_faults import (
    KeyRevocation,
    StoreDown,
    StoreHistoryLoss,
    StoreLinkFault,
)
from pollenloom_standins.relay.link_rules import LinkMode, LinkRule

FAULTS: Final[tuple[InjectedFault, ...]] = (
    NodeKill(),
    NodeFreeze(),
    NodeStop(),
    NodeReload(),
    StoreDown(),
    StoreHistoryLoss(),
    StoreLinkFault(
        NodeFaultKind.STORE_CUT,
        LinkRule(forward=LinkMode.DROP, backward=LinkMode.DROP),
    ),
    StoreLinkFault(
        NodeFaultKind.STORE_CUT_ONE_WAY,
        LinkRule(backward=LinkMode.DROP),
    ),
    StoreLinkFault(NodeFaultKind.STORE_HELD, LinkRule(forward=LinkMode.HOLD)),
    StoreLinkFault(NodeFaultKind.STORE_SLOW, LinkRule(delay_seconds=0.15)),
    BackendResponseFault(NodeFaultKind.BACKEND_CUT, ResponseFault.CUT),
    BackendResponseFault(NodeFaultKind.BACKEND_FAIL, ResponseFault.FAIL),
    BackendResponseFault(NodeFaultKind.BACKEND_REJECT, ResponseFault.REJECT),
    BackendResponseFault(NodeFaultKind.BACKEND_EXTRA, ResponseFault.EXTRA),
    BackendResponseFault(NodeFaultKind.BACKEND_SILENT, ResponseFault.SILENT),
    LeavingBackendFault(),
    BackendCrash(),
    KeyRevocation(),
)
