"""Measures version moves to a good version and to faulty ones."""

import asyncio
import shutil
import tempfile
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import ClassVar, Final

import msgspec

from pollenloom.core.ids import AccountId, VersionId, VmId
from pollenloom.core.states import Resource
from pollenloom_standins.backend.run_history import RunOutcome
from pollenloom_standins.experiment.arrival_generator import ArrivalGenerator
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import (
    Variant,
    experiment_plan,
)
from pollenloom_standins.experiment.router_probe import read_status
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.workload import (
    APPLICATION_SERVERS,
    Workload,
)
from pollenloom_standins.fleet.fleet_plan import BackendPlan, FleetPlan

NEW_VERSION: Final = VersionId('v2')
# Start of the VM ids of the new version's servers.
NEW_VM_PREFIX: Final = 'application-new'
MOVE_SECONDS: Final = 24
READS_PER_SECOND: Final = 50.0
SEARCH_FRACTION: Final = 0.3
POLL_SECONDS: Final = 0.25
MOVE_STARTED: Final = 'move'
MOVE_ENDED: Final = 'ended'
RUNNING_STATES: Final = frozenset(('waiting', 'running'))
FAIL_OPTIONS: Final = ('--bad-kind', 'fail')
SLOW_OPTIONS: Final = ('--bad-kind', 'slow', '--slow-factor', '10')
# Faults start after 60 calls. If the move completes, each server of the new
# version receives a few hundred of about 1,300 calls.
LATE_OPTIONS: Final = ('--bad-after', '60')
UNDER_LOAD_OPTIONS: Final = ('--bad-above-load', '1')
ONE_ROUTE_OPTIONS: Final = ('--bad-route', 'stock-searches')


class MoveStateView(msgspec.Struct, frozen=True):
    """State of a move, from the fleet's status."""

    state: str


class MovesView(msgspec.Struct, frozen=True):
    """Moves of the fleet's status; other fields are ignored."""

    moves: tuple[MoveStateView, ...]


class VersionMoveExperiment(Experiment):
    """Moves the application's service to a new version in 24 s.

    A variant's `engine_options` are the options of the new version's servers.
    """

    name: ClassVar[str] = 'version_move'
    seconds: ClassVar[float] = 28
    quick_seconds: ClassVar[float] = 28
    load: ClassVar[float] = 0.2

    def variants(self) -> tuple[Variant, ...]:
        """Return a good version and each kind of faulty one."""
        versions: dict[str, tuple[str, ...]] = {
            'good': (),
            'fails': FAIL_OPTIONS,
            'slow': SLOW_OPTIONS,
            'fails later': FAIL_OPTIONS + LATE_OPTIONS,
            'slow later': SLOW_OPTIONS + LATE_OPTIONS,
            'fails under load': FAIL_OPTIONS + UNDER_LOAD_OPTIONS,
            'fails on one route': FAIL_OPTIONS + ONE_ROUTE_OPTIONS,
        }
        return tuple(
            Variant(name=name, engine_options=options)
            for name, options in versions.items()
        )

    def plan(
        self,
        workload: Workload,
        variant: Variant,
        examples: Path,
    ) -> FleetPlan:
        """Return a fleet with servers of the old and of the new version."""
        plan = experiment_plan(workload, Variant(name=''), examples)
        new = tuple(
            BackendPlan(
                vm=VmId(f'{NEW_VM_PREFIX}-{number}'),
                service=workload.application,
                resource=Resource.APPLICATION,
                data_centre=workload.data_centre_of(number),
                version=NEW_VERSION,
                options=variant.engine_options,
            )
            for number in range(APPLICATION_SERVERS)
        )
        return FleetPlan(
            routers=plan.routers,
            backends=plan.backends + new,
            directories=plan.directories,
        )

    def arrival_generator(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> ArrivalGenerator:
        """Return a generator with many calls of the application."""
        arrival_generator = super().arrival_generator(workload, shares, seconds)
        arrival_generator.reads_per_second = READS_PER_SECOND
        arrival_generator.search_fraction = SEARCH_FRACTION
        return arrival_generator

    async def change_fleet(self, context: RunContext) -> None:
        """Publish the move and wait until it ends."""
        await asyncio.sleep(1)
        with tempfile.TemporaryDirectory(prefix='pollenloom-') as scratch:
            source = context.fleet.plan.directories[0]
            target = Path(scratch) / source.name
            shutil.copytree(source, target)
            context.mark(MOVE_STARTED)
            service = target / context.workload.application
            add_move(service / 'pollenloom.toml')
            await context.fleet.operator.publish(
                context.fleet.platform_url,
                target,
            )
        await self.wait_for_end(context)

    async def wait_for_end(self, context: RunContext) -> None:
        """Mark when the move ends, and its state then.

        Polls the status until the end of the load; marks nothing if the move
        has not ended by then.
        """
        while context.load.now() < context.seconds:
            await asyncio.sleep(POLL_SECONDS)
            content = await read_status(context.fleet)
            moves = msgspec.json.decode(content, type=MovesView).moves
            ended = [
                move.state for move in moves if move.state not in RUNNING_STATES
            ]
            if ended:
                context.mark(MOVE_ENDED)
                context.mark(ended[0])
                return

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return how the move ended and which calls the new version received.

        `seconds` is the time from the publishing to the end, -1 without an
        end. `new_version_part` is the fraction of the application's runs.
        """
        marks = context.marks
        started = marks[MOVE_STARTED]
        new = [vm for vm in data.histories if vm.startswith(NEW_VM_PREFIX)]
        old = [
            vm
            for vm in data.histories
            if vm.startswith('application') and vm not in new
        ]
        new_runs = data.runs_of(new)
        total = len(new_runs) + len(data.runs_of(old))
        failed = sum(run.outcome is RunOutcome.FAILED for run in new_runs)
        ended = marks.get(MOVE_ENDED)
        late_runs = sum(
            ended is not None and run.started - data.started > ended + 1
            for run in new_runs
        )
        return {
            'done': int('done' in marks),
            'taken_back': int('taken_back' in marks),
            'seconds': -1 if ended is None else ended - started,
            'new_version_part': len(new_runs) / total,
            'failed_by_new_version': failed,
            'runs_1_s_after_end': late_runs,
        }


def add_move(path: Path) -> None:
    """Add the new version, and a move to it from now on, to a service file."""
    start = datetime.now(UTC)
    end = start + timedelta(seconds=MOVE_SECONDS)
    text = path.read_text(encoding='utf-8')
    text = text.replace("versions = ['v1']", "versions = ['v1', 'v2']")
    move = '\n'.join(
        (
            '',
            '[move]',
            "name = 'measured-move'",
            "from = 'v1'",
            "to = 'v2'",
            f'start = {start.isoformat()}',
            f'finish_by = {end.isoformat()}',
            '',
        ),
    )
    path.write_text(text + move, encoding='utf-8')
