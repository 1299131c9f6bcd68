"""`pollenloom explain`."""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from expression import Error, Ok, Result

from pollenloom.console.command_exit import command_exit
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.operator_client import OperatorClient
from pollenloom.console.operator_options import OperatorOptions
from pollenloom.console.status_tables import describe_move, event_table
from pollenloom.core.failure import Failure
from pollenloom.observability.json_log import format_time
from pollenloom.operations.event_report import EventReport
from pollenloom.operations.fleet_status import FleetStatus


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Event records of a subject and sentences on its present state."""

    report: EventReport
    now: tuple[str, ...]


@cappa.command(
    name='explain',
    help='Show what happened to a request, server, move, ..., and why.',
    description='Shows the event records that all routers have of one id, '
    'oldest first, and its present state. Event records are kept in the '
    "routers' memory, for some minutes at full load, and are lost when a "
    'router is replaced. The id of a request is in the X-Request-Id header '
    'of its response.',
)
@dataclass(kw_only=True)
class ExplainCommand(OperatorOptions):
    """Shows what happened to a request, move or data centre, and why."""

    subject: Annotated[
        str,
        cappa.Arg(
            value_name='ID',
            help='Id of a request, backend server, pool, router, data centre, '
            'version move or publish.',
        ),
    ]

    def __call__(self) -> None:
        """Request the event records and print them.

        Raises:
            cappa.Exit: If a request failed or nothing is known of the id.
        """
        explanation = self.wait_for(explain(self.client(), self.subject))
        report = explanation.report
        if not report.events and not explanation.now:
            raise command_exit(
                f'No router has event records of {self.subject!r}.'
                f'{missing_records_note(report)} Check the id. Old records are '
                'removed, and a request that succeeded at its first attempt '
                'has none.',
                code=ExitCode.NOT_FOUND,
            )
        times = [format_time(event.at) for event in report.events]
        lines = [*explanation.now, missing_records_note(report).strip()]
        self.show(
            explanation,
            event_table(report.events, times),
            '\n'.join(line for line in lines if line),
        )


async def explain(
    client: OperatorClient,
    subject: str,
) -> Result[Explanation, Failure]:
    """Request the event records and the present state of a subject."""
    report, status = await asyncio.gather(
        client.events(subject),
        client.status(),
    )
    if report.is_error():
        return Error(report.error)
    if status.is_error():
        return Error(status.error)
    return Ok(
        Explanation(report=report.ok, now=present_state(subject, status.ok)),
    )


def present_state(subject: str, status: FleetStatus) -> tuple[str, ...]:
    """Return sentences on a move or data centre; empty for other subjects."""
    lines = [
        f'Now: data centre {entry.data_centre} is {entry.state.value}; '
        f'{entry.routers_with_state} routers have this state.'
        for entry in status.data_centres
        if entry.data_centre == subject
    ]
    lines.extend(
        f'Now: move {move.move} of {move.service} from {move.from_version} '
        f'to {move.to_version} is {move.state}. {describe_move(move)}'.strip()
        for move in status.moves
        if move.move == subject
    )
    return tuple(lines)


def missing_records_note(report: EventReport) -> str:
    """Return a sentence naming routers that did not reply; empty if none."""
    if not report.not_answered:
        return ''
    missing = ', '.join(report.not_answered)
    return f' No reply from: {missing}; their records are missing.'
