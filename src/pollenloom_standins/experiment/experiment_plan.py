"""Plans the fleet of an experiment."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from pollenloom.core.ids import VmId
from pollenloom.core.states import Resource
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom_standins.experiment.workload import (
    APPLICATION_SERVERS,
    COLD_SLOTS,
    MODEL_SERVERS,
    SLOTS,
    TOKEN_SECONDS,
    Workload,
)
from pollenloom_standins.fleet.fleet_plan import (
    BackendPlan,
    FleetPlan,
    RouterPlan,
)

ENGINE_OPTIONS: Final = (
    '--token-ms',
    str(TOKEN_SECONDS * MILLISECONDS_PER_SECOND),
    # With a power of 1, an overloaded engine keeps its throughput. This
    # favours the policies that overload it.
    '--overload-power',
    '1',
)


@dataclass(frozen=True, kw_only=True)
class Variant:
    """One of the setups that an experiment compares.

    Attributes:
        name: Name in tables.
        policy: Admission policy.
        admission_settings: More lines of the settings section `[admission]`.
        engine_options: More options of the command of the stand-in engines.
        action: Kind of change that the experiment makes; empty for its default.
    """

    name: str
    policy: str = 'allocator'
    admission_settings: tuple[str, ...] = ()
    engine_options: tuple[str, ...] = ()
    action: str = ''


def settings_sections(variant: Variant, routers: int) -> str:
    """Return the settings sections of a variant, as TOML text."""
    return '\n'.join(
        (
            '[admission]',
            f'policy = "{variant.policy}"',
            f'routers = {routers}',
            *variant.admission_settings,
            '[limits]',
            'drain_grace_seconds = 0.2',
        ),
    )


def experiment_plan(
    workload: Workload,
    variant: Variant,
    examples: Path,
) -> FleetPlan:
    """Return routers and backend servers, spread over the data centres."""
    routers = tuple(
        RouterPlan(
            vm=VmId(f'router-{number}'),
            data_centre=workload.data_centre_of(number),
            host=f'127.0.{number % len(workload.data_centres) + 1}.1',
            sections=settings_sections(variant, workload.routers),
        )
        for number in range(workload.routers)
    )
    return FleetPlan(
        routers=routers,
        backends=model_plans(workload, variant) + application_plans(workload),
        directories=(examples / workload.name,),
    )


def model_plans(
    workload: Workload,
    variant: Variant,
) -> tuple[BackendPlan, ...]:
    """Return the plans of the model backend servers."""
    return tuple(
        BackendPlan(
            vm=VmId(f'model-{number}'),
            service=workload.model,
            resource=Resource.MODEL,
            data_centre=workload.data_centre_of(number),
            slots=SLOTS,
            cold_slots=COLD_SLOTS,
            options=ENGINE_OPTIONS + variant.engine_options,
        )
        for number in range(MODEL_SERVERS)
    )


def application_plans(workload: Workload) -> tuple[BackendPlan, ...]:
    """Return the plans of the application backend servers."""
    return tuple(
        BackendPlan(
            vm=VmId(f'application-{number}'),
            service=workload.application,
            resource=Resource.APPLICATION,
            data_centre=workload.data_centre_of(number),
        )
        for number in range(APPLICATION_SERVERS)
    )
