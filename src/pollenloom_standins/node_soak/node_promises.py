"""All promises that a round of nodes is checked for."""

from typing import Final

from pollenloom_standins.history.promise_checker import Checkers
from pollenloom_standins.node_soak.node_drain_checker import NodeDrainChecker
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.node_refusal_checker import (
    NodeRefusalChecker,
)
from pollenloom_standins.node_soak.node_stop_checker import NodeStopChecker
from pollenloom_standins.node_soak.once_checker import OnceChecker
from pollenloom_standins.node_soak.request_checker import RequestChecker
from pollenloom_standins.node_soak.revoked_checker import RevokedChecker
from pollenloom_standins.node_soak.served_checker import ServedChecker
from pollenloom_standins.node_soak.whole_checker import WholeChecker

NODE_PROMISES: Final[Checkers[NodeHistory]] = (
    OnceChecker(),
    NodeRefusalChecker(),
    WholeChecker(),
    RequestChecker(),
    NodeDrainChecker(),
    RevokedChecker(),
    NodeStopChecker(),
    ServedChecker(),
)
