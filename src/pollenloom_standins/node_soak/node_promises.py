"""All promises that a round of nodes is checked for."""

from typing import Final

from pollenloom_standins.history.promise_checker import Checkers
from pollenloom_standins.node_soak.at_most_once_checker import AtMostOnceChecker
from pollenloom_standins.node_soak.complete_response_checker import (
    CompleteResponseChecker,
)
from pollenloom_standins.node_soak.node_drain_checker import NodeDrainChecker
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.node_refusal_checker import (
    NodeRefusalChecker,
)
from pollenloom_standins.node_soak.node_stop_checker import NodeStopChecker
from pollenloom_standins.node_soak.rate_limit_checker import RateLimitChecker
from pollenloom_standins.node_soak.recovery_checker import RecoveryChecker
from pollenloom_standins.node_soak.request_checker import RequestChecker
from pollenloom_standins.node_soak.revoked_key_checker import RevokedKeyChecker

NODE_PROMISES: Final[Checkers[NodeHistory]] = (
    AtMostOnceChecker(),
    NodeRefusalChecker(),
    CompleteResponseChecker(),
    RequestChecker(),
    NodeDrainChecker(),
    RevokedKeyChecker(),
    NodeStopChecker(),
    RecoveryChecker(),
    RateLimitChecker(),
)
