"""Traffic moves to a version that is good or turns out bad."""

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
from pollenloom_standins.experiment.arrival_recorder import ArrivalRecorder
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
NEW_VM: Final = 'application-new'
MOVE_SECONDS: Final = 24
READS_PER_SECOND: Final = 50.0
SEARCH_PART: Final = 0.3
POLL_SECONDS: Final = 0.25
MOVE_STARTED: Final = 'move'
MOVE_ENDED: Final = 'ended'
RUNNING_STATES: Final = frozenset(('waiting', 'running'))
FAIL: Final = ('--bad-kind', 'fail')
SLOW: Final = ('--bad-kind', 'slow', '--slow-factor', '10')
# Of about 1,300 calls a good new version gets some hundred on each server.
LATER: Final = ('--bad-after', '60')
UNDER_LOAD: Final = ('--bad-above-load', '1')
ONE_ROUTE: Final = ('--bad-route', 'stock-searches')


class MoveStateView(msgspec.Struct, frozen=True):
    """The part of a move's status with its state."""

    state: str


class MovesView(msgspec.Struct, frozen=True):
    """The part of the fleet's status with the moves."""

    moves: tuple[MoveStateView, ...]


class VersionMoveExperiment(Experiment):
    """The application's service moves to a new version in 24 s.

    `engine_options` are those of the new version's servers.
    """

    name: ClassVar[str] = 'version_move'
    seconds: ClassVar[float] = 28
    quick_seconds: ClassVar[float] = 28
    load: ClassVar[float] = 0.2

    def variants(self) -> tuple[Variant, ...]:
        """Return a good version and the kinds of bad ones."""
        versions: dict[str, tuple[str, ...]] = {
            'good': (),
            'fails': FAIL,
            'slow': SLOW,
            'fails later': FAIL + LATER,
            'slow later': SLOW + LATER,
            'fails under load': FAIL + UNDER_LOAD,
            'fails on one route': FAIL + ONE_ROUTE,
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
        """Return a fleet with servers of the new version beside the old."""
        plan = experiment_plan(workload, Variant(name=''), examples)
        new = tuple(
            BackendPlan(
                vm=VmId(f'{NEW_VM}-{number}'),
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

    def recorder(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> ArrivalRecorder:
        """Return what makes many calls of the application."""
        recorder = super().recorder(workload, shares, seconds)
        recorder.reads_per_second = READS_PER_SECOND
        recorder.search_part = SEARCH_PART
        return recorder

    async def act(self, context: RunContext) -> None:
        """Publish the move and wait for its end."""
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
        """Note when the move is no longer running, and how it ended."""
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
        """Return how the move ended and what the new version got."""
        marks = context.marks
        begun = marks[MOVE_STARTED]
        new = [vm for vm in data.histories if vm.startswith(NEW_VM)]
        old = [
            vm
            for vm in data.histories
            if vm.startswith('application') and vm not in new
        ]
        new_runs = data.runs_of(new)
        total = len(new_runs) + len(data.runs_of(old))
        failed = sum(run.outcome is RunOutcome.FAILED for run in new_runs)
        ended = marks.get(MOVE_ENDED)
        late = sum(
            ended is not None and run.started - data.started > ended + 1
            for run in new_runs
        )
        return {
            'done': int('done' in marks),
            'taken_back': int('taken_back' in marks),
            'seconds': -1 if ended is None else ended - begun,
            'new_version_part': len(new_runs) / total,
            'failed_by_new_version': failed,
            'runs_1_s_after_end': late,
        }


def add_move(path: Path) -> None:
    """Add the new version and a move that starts now to a service file."""
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
