"""All promises that a round of nodes is checked for."""

from typing import Final

from pollenloom_standins.history.promise_checker import Checkers
from pollenloom_standins.node_soak.drain_checker import DrainChecker
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.once_checker import OnceChecker
from pollenloom_standins.node_soak.refusal_checker import RefusalChecker
from pollenloom_standins.node_soak.request_checker import RequestChecker
from pollenloom_standins.node_soak.revoked_checker import RevokedChecker
from pollenloom_standins.node_soak.served_checker import ServedChecker
from pollenloom_standins.node_soak.stop_checker import StopChecker
from pollenloom_standins.node_soak.whole_checker import WholeChecker

NODE_PROMISES: Final[Checkers[NodeHistory]] = (
    OnceChecker(),
    RefusalChecker(),
    WholeChecker(),
    RequestChecker(),
    DrainChecker(),
    RevokedChecker(),
    StopChecker(),
    ServedChecker(),
)
