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
    count_error_details,
    quantiles_of,
)
from pollenloom_standins.experiment.utilisation_meter import UtilisationMeter

WINDOW_SECONDS: Final = (2.0, 5.0, 10.0)
# Fairness, utilisation and time to the first token leave out the first seconds,
# in which queues and cost estimates settle.
SETTLE_SECONDS: Final = 3.0


def measure_run(
    experiment: Experiment,
    context: RunContext,
    data: RunData,
    seed: int,
    router_uses: tuple[RouterUse, RouterUse],
) -> RunResult:
    """Return the result of a run.

    `router_uses` are the routers' use of resources before and under load.
    """
    workload = context.workload
    calls = data.model_calls
    meter = FairnessMeter(calls, data.shares, data.seconds)
    overloading = workload.large + workload.flooding
    settled = [call for call in calls if call.sent >= SETTLE_SECONDS]
    return RunResult(
        experiment=experiment.name,
        workload=workload.name,
        variant=context.variant.name,
        seed=seed,
        seconds=data.seconds,
        calls=count_calls(calls),
        reads=count_calls(data.reads),
        gaps=tuple(
            meter.gap(window, SETTLE_SECONDS) for window in WINDOW_SECONDS
        ),
        utilisation=utilisation_meter(data).measure(
            SETTLE_SECONDS,
            sum(
                at >= SETTLE_SECONDS
                for call in calls
                for at in call.token_times
            ),
        ),
        first_token=quantiles_of([call.wait_seconds for call in settled]),
        first_token_small=quantiles_of(
            [
                call.wait_seconds
                for call in settled
                if call.arrival.account not in overloading
            ],
        ),
        token_gap=quantiles_of(data.token_gaps()),
        read_time=quantiles_of([call.wait_seconds for call in data.reads]),
        idle_use=router_uses[0],
        load_use=router_uses[1],
        figures=experiment.figures(context, data),
        notes=count_error_details(data.records),
        owner_changes=data.owner_changes,
        curves={
            account: meter.service_curve(account) for account in overloading
        },
    )


def utilisation_meter(data: RunData) -> UtilisationMeter:
    """Return a meter of the slots of the model servers."""
    models = {
        vm: runs for vm, runs in data.histories.items() if is_model_server(vm)
    }
    return UtilisationMeter(
        models,
        data.model_calls,
        data.started,
        data.seconds,
    )


def is_model_server(vm: VmId) -> bool:
    """Whether the VM of an experiment is a model server, by its name."""
    return vm.startswith('model')
