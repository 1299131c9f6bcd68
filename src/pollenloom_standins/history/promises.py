"""All promises that a round is checked for."""

from typing import Final

from pollenloom_standins.history.cold_backend_checker import ColdBackendChecker
from pollenloom_standins.history.configuration_checker import (
    ConfigurationChecker,
)
from pollenloom_standins.history.drain_checker import DrainChecker
from pollenloom_standins.history.history import History
from pollenloom_standins.history.leaving_backend_checker import (
    LeavingBackendChecker,
)
from pollenloom_standins.history.order_checker import OrderChecker
from pollenloom_standins.history.promise_checker import Checkers
from pollenloom_standins.history.refusal_checker import RefusalChecker
from pollenloom_standins.history.repeated_order_checker import (
    RepeatedOrderChecker,
)
from pollenloom_standins.history.response_checker import ResponseChecker
from pollenloom_standins.history.starvation_checker import StarvationChecker
from pollenloom_standins.history.stop_checker import StopChecker

PROMISES: Final[Checkers[History]] = (
    StarvationChecker(),
    ColdBackendChecker(),
    DrainChecker(),
    ResponseChecker(),
    RefusalChecker(),
    RepeatedOrderChecker(),
    OrderChecker(),
    LeavingBackendChecker(),
    StopChecker(),
    ConfigurationChecker(),
)
