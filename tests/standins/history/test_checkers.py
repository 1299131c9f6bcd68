"""Each checker accepts the kept history and rejects a broken one.

Guards against checks that pass whatever the system does.
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
from pollenloom_standins.history.service_checker import ServiceChecker
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

Break = Callable[[History], None]


def run_order_twice(history: History) -> None:
    history.orders.append(order_run())


def answer_repeat_differently(history: History) -> None:
    history.calls.append(order_call(104, 'other'))


def invent_answer(history: History) -> None:
    history.orders.clear()


def answer_wrongly(history: History) -> None:
    history.calls.append(call('x', 104, CallOutcome.WRONG))


def cut_silently(history: History) -> None:
    history.calls.append(call('x', 104, CallOutcome.SHORT))


def lose_answer(history: History) -> None:
    history.calls.append(call('x', 104, CallOutcome.LOST))


def run_refused(history: History) -> None:
    history.runs.append(server_run('refused', 101))


def refuse_repeat_as_not_run(history: History) -> None:
    record = order_call(104, '')
    record.outcome = CallOutcome.REFUSED
    record.run = 'no'
    history.calls.append(record)


def run_in_drained(history: History) -> None:
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


def end_stop_badly(history: History) -> None:
    history.faults[-1].exit_code = 11


def revert(history: History) -> None:
    history.revisions.append(revision_sample(107, 1))


def come_late(history: History) -> None:
    history.publishes.append(
        ConfirmedPublish(publisher='anna', revision=3, told_at=108),
    )


def let_both_win(history: History) -> None:
    history.publishes.append(
        ConfirmedPublish(publisher='berend', revision=2, told_at=105),
    )


def starve(history: History) -> None:
    history.calls = [
        record for record in history.calls if not 109 < record.started < 129
    ]


Case = tuple[PromiseChecker[History], Break]
BROKEN: tuple[Case, ...] = (
    (OrderChecker(), run_order_twice),
    (OrderChecker(), answer_repeat_differently),
    (OrderChecker(), invent_answer),
    (ResponseChecker(), answer_wrongly),
    (ResponseChecker(), cut_silently),
    (ResponseChecker(), lose_answer),
    (RefusalChecker(), run_refused),
    (RepeatedOrderChecker(), refuse_repeat_as_not_run),
    (DrainChecker(), run_in_drained),
    (LeavingBackendChecker(), refuse_as_leaving),
    (LeavingBackendChecker(), run_on_listed_as_leaving),
    (ColdBackendChecker(), overload_cold),
    (ColdBackendChecker(), overload_long_after_turning_cold),
    (StopChecker(), cut_by_stop),
    (StopChecker(), end_stop_badly),
    (ConfigurationChecker(), revert),
    (ConfigurationChecker(), come_late),
    (ConfigurationChecker(), let_both_win),
    (ServiceChecker(), starve),
)


@pytest.mark.parametrize('checker', PROMISES)
def test_kept_history_is_accepted(
    checker: PromiseChecker[History],
    history: History,
) -> None:
    assert not list(checker.violations(history))


@pytest.mark.parametrize(('checker', 'break_history'), BROKEN)
def test_broken_history_is_rejected(
    checker: PromiseChecker[History],
    break_history: Break,
    history: History,
) -> None:
    break_history(history)
    assert list(checker.violations(history))


def test_killed_router_explains_lost_answer(history: History) -> None:
    """Guards against false alarms that would hide true ones."""
    lose_answer(history)
    history.faults.append(fault(FaultKind.ROUTER_KILLED, ROUTER, 104.5))
    assert not list(ResponseChecker().violations(history))
