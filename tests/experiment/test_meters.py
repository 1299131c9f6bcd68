"""Figures and arrivals of experiments, checked against known values."""

import pytest

from pollenloom.core.ids import AccountId, VmId
from pollenloom_standins.backend.run_history import RunRecord
from pollenloom_standins.experiment.arrival import Arrival, ArrivalKind
from pollenloom_standins.experiment.arrival_generator import ArrivalGenerator
from pollenloom_standins.experiment.fairness_meter import FairnessMeter
from pollenloom_standins.experiment.measured_call import MeasuredCall
from pollenloom_standins.experiment.utilisation_meter import UtilisationMeter
from pollenloom_standins.experiment.workload import SLOTS
from pollenloom_standins.experiment.workloads import CARROMWERK

LARGE = AccountId('league')
SMALL = AccountId('museum')
SHARES = {LARGE: 4, SMALL: 1}


def call(
    account: AccountId, waited: float, *token_times: float
) -> MeasuredCall:
    arrival = Arrival(at=0, account=account, router=0, kind=ArrivalKind.MODEL)
    return MeasuredCall(
        arrival=arrival, sent=0, ended=waited, token_times=list(token_times)
    )


def test_gap_compares_tokens_by_share() -> None:
    """Guards against a gap between the wrong accounts or without shares.

    Comes about if tokens are not divided by the share, if a backlogged account
    without tokens is left out, or if an account without requests is counted.
    """
    records = [
        call(LARGE, 10),
        call(LARGE, 10, *(number / 10 for number in range(80))),
        call(SMALL, 10),
        call(SMALL, 10, *(number / 2 for number in range(16))),
    ]
    meter = FairnessMeter(records, SHARES, 8)
    gap = meter.gap(4, 2)
    # Large: 10 tokens/s for a share of 4; small: 2 tokens/s for a share of 1.
    assert gap.windows > 0
    assert gap.median_gap == pytest.approx(2, abs=0.5)
    assert gap.least_part == pytest.approx(2 / 2.25, abs=0.1)
    unserved = FairnessMeter(records[:3], SHARES, 8)
    assert unserved.gap(4, 2).largest_gap == pytest.approx(10, abs=0.5)
    assert FairnessMeter(records[:2], SHARES, 8).gap(4, 2).windows == 0


def test_utilisation_counts_only_while_work_waits() -> None:
    """Guards against idle slots that are hidden, or counted without work.

    Comes about if idle slots are left out while a request waits, or if they
    count while none does.
    """
    runs = [
        RunRecord(
            request_id=str(number),
            account='museum',
            path='',
            fencing_number=1,
            started=100,
            ended=104,
        )
        for number in range(SLOTS // 2)
    ]
    histories = {VmId('model-0'): runs}
    waiting = call(SMALL, 4)
    meter = UtilisationMeter(histories, [waiting], 100, 8)
    figures = meter.measure(1, tokens=14)
    assert figures.busy_while_waiting == pytest.approx(0.5)
    assert figures.waiting_time == pytest.approx(3 / 7, abs=0.02)
    assert figures.overloaded_time == 0
    assert figures.tokens_per_second == pytest.approx(2)


def test_arrivals_repeat_for_a_seed() -> None:
    """Guards against a comparison of policies under different loads.

    Comes about if a seed doesn't fix the arrivals, or all seeds give the same
    ones. Hints must also cover the range of ratios to the cost.
    """
    names = CARROMWERK.large + CARROMWERK.flooding
    shares = dict.fromkeys((*names, AccountId('sawmill')), 1.0)
    arrival_generator = ArrivalGenerator(CARROMWERK, shares, 5)
    first = arrival_generator.generate(1)
    assert first == arrival_generator.generate(1)
    assert first != arrival_generator.generate(2)
    calls = [entry for entry in first if entry.kind is ArrivalKind.MODEL]
    assert all(entry.hint_tokens >= entry.answer_tokens for entry in calls)
    ratios = [entry.hint_tokens / entry.answer_tokens for entry in calls]
    assert min(ratios) < 2
    assert max(ratios) > 50
