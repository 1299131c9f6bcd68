"""Computes the result of a run."""

from typing import Final

from pollenloom.core.ids import VmId
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.fairness_meter import FairnessMeter
from pollenloom_standins.experiment.results import RouterUse, RunResult
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import (
    RunData,
    count_calls,
    count_details,
    quantiles_of,
)
from pollenloom_standins.experiment.utilisation_meter import UtilisationMeter

WINDOWS: Final = (2.0, 5.0, 10.0)
# Queues and estimates of costs settle during the first seconds.
SETTLE_SECONDS: Final = 3.0


def measure_run(
    experiment: Experiment,
    context: RunContext,
    data: RunData,
    seed: int,
    uses: tuple[RouterUse, RouterUse],
) -> RunResult:
    """Return all figures of a run."""
    workload = context.workload
    calls = data.model_calls
    meter = FairnessMeter(calls, data.shares, data.seconds)
    busy = workload.large + workload.flooding
    settled = [call for call in calls if call.sent >= SETTLE_SECONDS]
    return RunResult(
        experiment=experiment.name,
        workload=workload.name,
        variant=context.variant.name,
        seed=seed,
        seconds=data.seconds,
        calls=count_calls(calls),
        reads=count_calls(data.reads),
        gaps=tuple(meter.gap(window, SETTLE_SECONDS) for window in WINDOWS),
        utilisation=utilisation_meter(data).measure(
            SETTLE_SECONDS,
            sum(at >= SETTLE_SECONDS for call in calls for at in call.tokens),
        ),
        first_token=quantiles_of([call.wait_seconds for call in settled]),
        first_token_small=quantiles_of(
            [
                call.wait_seconds
                for call in settled
                if call.arrival.account not in busy
            ],
        ),
        token_gap=quantiles_of(data.token_gaps()),
        read_time=quantiles_of([call.wait_seconds for call in data.reads]),
        idle_use=uses[0],
        load_use=uses[1],
        figures=experiment.figures(context, data),
        notes=count_details(data.records),
        owner_changes=data.owner_changes,
        curves={account: meter.curve(account) for account in busy},
    )


def utilisation_meter(data: RunData) -> UtilisationMeter:
    """Return the meter of the model servers."""
    models = {vm: runs for vm, runs in data.histories.items() if is_model(vm)}
    return UtilisationMeter(
        models,
        data.model_calls,
        data.started,
        data.seconds,
    )


def is_model(vm: VmId) -> bool:
    """Whether a backend server of an experiment serves the model."""
    return vm.startswith('model')
