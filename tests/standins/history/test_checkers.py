"""Each checker accepts a history that keeps its promise.

It rejects a history in which one record breaks the promise.
"""

from collections.abc import Callable

import pytest

from pollenloom_standins.history.call_record import CallOutcome
from pollenloom_standins.history.cold_backend_checker import ColdBackendChecker
from pollenloom_standins.history.configuration_checker import (
    ConfigurationChecker,
)
from pollenloom_standins.history.drain_checker import DrainChecker
from pollenloom_standins.history.fault_record import FaultKind
from pollenloom_standins.history.history import History
from pollenloom_standins.history.leaving_backend_checker import (
    LeavingBackendChecker,
)
from pollenloom_standins.history.order_checker import OrderChecker
from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.history.promises import PROMISES
from pollenloom_standins.history.refusal_checker import RefusalChecker
from pollenloom_standins.history.repeated_order_checker import (
    RepeatedOrderChecker,
)
from pollenloom_standins.history.response_checker import ResponseChecker
from pollenloom_standins.history.samples import ConfirmedPublish
from pollenloom_standins.history.starvation_checker import StarvationChecker
from pollenloom_standins.history.stop_checker import StopChecker
from tests.standins.history.conftest import (
    ROUTER,
    SERVER,
    call,
    fault,
    order_call,
    order_run,
    revision_sample,
    server_run,
    server_sample,
)

BreakHistory = Callable[[History], None]


def run_order_twice(history: History) -> None:
    history.orders.append(order_run())


def respond_differently_to_repeat(history: History) -> None:
    history.calls.append(order_call(104, 'other'))


def respond_without_run(history: History) -> None:
    history.orders.clear()


def give_unexpected_response(history: History) -> None:
    history.calls.append(call('x', 104, CallOutcome.UNEXPECTED))


def cut_silently(history: History) -> None:
    history.calls.append(call('x', 104, CallOutcome.TRUNCATED))


def lose_response(history: History) -> None:
    history.calls.append(call('x', 104, CallOutcome.LOST))


def run_refused_request(history: History) -> None:
    history.runs.append(server_run('refused', 101))


def refuse_repeat_as_not_run(history: History) -> None:
    record = order_call(104, '')
    record.outcome = CallOutcome.REFUSED
    record.run = 'no'
    history.calls.append(record)


def run_in_drained_data_centre(history: History) -> None:
    history.runs.append(server_run('x', 113.5))


def refuse_as_leaving(history: History) -> None:
    history.servers.append(server_sample(119.5, 0, 3))


def run_on_listed_as_leaving(history: History) -> None:
    history.faults = [fault(FaultKind.BACKEND_LEAVING, SERVER, 110)]
    history.runs.append(server_run('x', 113.5))


def overload_cold(history: History) -> None:
    history.servers.append(server_sample(119.5, 1, 2))


def overload_long_after_turning_cold(history: History) -> None:
    history.faults.append(fault(FaultKind.BACKEND_COLD, SERVER, 100))
    history.servers.append(server_sample(119.5, 1, 2))


def cut_by_stop(history: History) -> None:
    history.calls.append(call('x', 124.5, CallOutcome.CUT))


def exit_with_failure(history: History) -> None:
    history.faults[-1].exit_code = 11


def revert_configuration(history: History) -> None:
    history.revisions.append(revision_sample(107, 1))


def apply_configuration_late(history: History) -> None:
    history.publishes.append(
        ConfirmedPublish(publisher='anna', revision=3, told_at=108),
    )


def confirm_revision_twice(history: History) -> None:
    history.publishes.append(
        ConfirmedPublish(publisher='berend', revision=2, told_at=105),
    )


def starve_account(history: History) -> None:
    history.calls = [
        record for record in history.calls if not 109 < record.started < 129
    ]


Case = tuple[PromiseChecker[History], BreakHistory]
BROKEN: tuple[Case, ...] = (
    (OrderChecker(), run_order_twice),
    (OrderChecker(), respond_differently_to_repeat),
    (OrderChecker(), respond_without_run),
    (ResponseChecker(), give_unexpected_response),
    (ResponseChecker(), cut_silently),
    (ResponseChecker(), lose_response),
    (RefusalChecker(), run_refused_request),
    (RepeatedOrderChecker(), refuse_repeat_as_not_run),
    (DrainChecker(), run_in_drained_data_centre),
    (LeavingBackendChecker(), refuse_as_leaving),
    (LeavingBackendChecker(), run_on_listed_as_leaving),
    (ColdBackendChecker(), overload_cold),
    (ColdBackendChecker(), overload_long_after_turning_cold),
    (StopChecker(), cut_by_stop),
    (StopChecker(), exit_with_failure),
    (ConfigurationChecker(), revert_configuration),
    (ConfigurationChecker(), apply_configuration_late),
    (ConfigurationChecker(), confirm_revision_twice),
    (StarvationChecker(), starve_account),
)


@pytest.mark.parametrize('checker', PROMISES)
def test_history_that_keeps_promise_is_accepted(
    checker: PromiseChecker[History],
    history: History,
) -> None:
    """Guards against checkers that report violations without a reason."""
    assert not list(checker.violations(history))


@pytest.mark.parametrize(('checker', 'break_history'), BROKEN)
def test_history_that_breaks_promise_is_rejected(
    checker: PromiseChecker[History],
    break_history: BreakHistory,
    history: History,
) -> None:
    """Guards against checkers that pass whatever the system does."""
    break_history(history)
    assert list(checker.violations(history))


def test_killed_router_explains_lost_response(history: History) -> None:
    """Guards against false violations, which would hide true ones."""
    lose_response(history)
    history.faults.append(fault(FaultKind.ROUTER_KILLED, ROUTER, 104.5))
    assert not list(ResponseChecker().violations(history))
