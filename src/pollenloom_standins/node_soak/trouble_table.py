"""All that can happen to a site, in the order in which seeds draw it."""

from typing import Final

from pollenloom_standins.node_soak.node_fault import NodeFaultKind
from pollenloom_standins.node_soak.node_troubles import (
    NodeFreeze,
    NodeKill,
    NodeReload,
    NodeStop,
)
from pollenloom_standins.node_soak.site_trouble import SiteTrouble
from pollenloom_standins.node_soak.soak_worker import WorkerFault
from pollenloom_standins.node_soak.store_troubles import (
    KeyRevoked,
    StoreDown,
    StoreForgets,
    StoreLink,
)
from pollenloom_standins.node_soak.worker_troubles import (
    WorkerAnswers,
    WorkerCrash,
    WorkerLeaves,
)
from pollenloom_standins.relay.link_rules import LinkMode, LinkRule

TROUBLES: Final[tuple[SiteTrouble, ...]] = (
    NodeKill(),
    NodeFreeze(),
    NodeStop(),
    NodeReload(),
    StoreDown(),
    StoreForgets(),
    StoreLink(
        NodeFaultKind.STORE_CUT,
        LinkRule(forward=LinkMode.DROP, backward=LinkMode.DROP),
    ),
    StoreLink(
        NodeFaultKind.STORE_CUT_ONE_WAY,
        LinkRule(backward=LinkMode.DROP),
    ),
    StoreLink(NodeFaultKind.STORE_HELD, LinkRule(forward=LinkMode.HOLD)),
    StoreLink(NodeFaultKind.STORE_SLOW, LinkRule(delay_seconds=0.15)),
    WorkerAnswers(NodeFaultKind.WORKER_CUT, WorkerFault.CUT),
    WorkerAnswers(NodeFaultKind.WORKER_FAIL, WorkerFault.FAIL),
    WorkerAnswers(NodeFaultKind.WORKER_REJECT, WorkerFault.REJECT),
    WorkerAnswers(NodeFaultKind.WORKER_EXTRA, WorkerFault.EXTRA),
    WorkerAnswers(NodeFaultKind.WORKER_SILENT, WorkerFault.SILENT),
    WorkerLeaves(),
    WorkerCrash(),
    KeyRevoked(),
)
