"""Human-readable tables of the fleet's status."""

from collections.abc import Iterable
from typing import Final

import msgspec
from rich.table import Table
from rich.text import Text

from pollenloom.moves.move_evaluator import STAGE_SHARES
from pollenloom.moves.move_record import MoveRecord, RouteEvidence
from pollenloom.moves.version_counts import VersionCounts
from pollenloom.observability.json_log import format_time
from pollenloom.operations.event_entry import EventEntry
from pollenloom.operations.fleet_status import FleetStatus, MoveView

# Columns with names that people copy are not wrapped.
NO_WRAP_COLUMNS: Final = frozenset(('time', 'router', 'event', 'move'))


def make_table(
    title: str,
    columns: tuple[str, ...],
    rows: Iterable[tuple[object, ...]],
) -> Table:
    """Return a table; an unknown value is shown as a dash."""
    table = Table(title=title, title_justify='left')
    for column in columns:
        no_wrap = column in NO_WRAP_COLUMNS
        table.add_column(column, overflow='fold', no_wrap=no_wrap)
    for row in rows:
        table.add_row(*(Text(format_cell(cell)) for cell in row))
    return table


def format_cell(cell: object) -> str:
    """Return the text of a cell."""
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:,.1f}'
    return str(cell)


def summarize(status: FleetStatus) -> str:
    """Return the most important facts in a few lines."""
    configuration = status.configuration
    publisher = configuration.publisher or 'no publisher yet'
    lines = [
        f'Configuration revision {configuration.revision} by {publisher}',
        f'Admission policy {status.policy}, {status.waiting} waiting requests',
        f'Reported by {status.asked}',
    ]
    if configuration.routers_behind:
        behind = ', '.join(configuration.routers_behind)
        lines.append(f'Routers with an older revision: {behind}')
    if status.not_answered:
        missing = ', '.join(status.not_answered)
        lines.append(f'No reply within 1 s from: {missing}')
    if status.accounts_left_out:
        lines.append(f'Accounts omitted: {status.accounts_left_out}')
    return '\n'.join(lines)


def data_centre_table(status: FleetStatus) -> Table:
    """Return the table of data centres."""
    answered = sum(member.answered for member in status.members)
    return make_table(
        'Data centres',
        ('data centre', 'state', 'routers', 'has this state'),
        (
            (
                entry.data_centre,
                entry.state.value,
                entry.routers,
                f'{entry.routers_with_state} of {answered} that replied',
            )
            for entry in status.data_centres
        ),
    )


def member_table(status: FleetStatus) -> Table:
    """Return the table of routers."""
    return make_table(
        'Routers',
        ('router', 'data centre', 'member', 'phase', 'revision', 'waiting'),
        (
            (
                member.vm,
                member.data_centre,
                member.state.value,
                member.phase if member.answered else 'no reply',
                member.revision,
                member.waiting,
            )
            for member in status.members
        ),
    )


def pool_table(status: FleetStatus) -> Table:
    """Return the table of pools."""
    return make_table(
        'Pools',
        ('pool', 'owner', 'epoch', 'waiting', 'servers'),
        (
            (pool.pool, pool.owner, pool.epoch, pool.waiting, len(pool.servers))
            for pool in status.pools
        ),
    )


def server_table(status: FleetStatus) -> Table:
    """Return the table of backend servers."""
    return make_table(
        'Backend servers',
        (
            'server',
            'service',
            'data centre',
            'version',
            'in flight',
            'limit',
            'slots',
            'cold',
            'takes work',
        ),
        (
            (
                server.server,
                server.service,
                server.data_centre,
                server.version,
                server.in_flight,
                server.limit,
                server.slots,
                server.cold,
                server.takes_work,
            )
            for server in status.servers
        ),
    )


def account_table(status: FleetStatus, *, idle: bool) -> Table:
    """Return the table of shares and queues of the client accounts.

    Accounts without served or waiting requests are included only if `idle`.
    """
    shown = [
        account
        for account in status.accounts
        if idle or account.served or account.waiting
    ]
    hidden = len(status.accounts) - len(shown)
    title = 'Client accounts'
    if hidden:
        title = f'{title} (and {hidden} without requests; --idle shows them)'
    return make_table(
        title,
        ('account', 'service', 'share', 'served', 'served/share', 'waiting'),
        (
            (
                account.account,
                account.service,
                account.share,
                account.served,
                account.served / account.share if account.share else None,
                account.waiting,
            )
            for account in shown
        ),
    )


def move_table(moves: Iterable[MoveView]) -> Table:
    """Return the table of version moves."""
    return make_table(
        'Version moves',
        ('move', 'service', 'from', 'to', 'state', 'finish by', 'details'),
        (
            (
                move.move,
                move.service,
                move.from_version,
                move.to_version,
                move.state,
                move.finish_by,
                describe_move(move),
            )
            for move in moves
        ),
    )


def describe_move(move: MoveView) -> str:
    """Return stage, reason and evidence of a move."""
    if not move.record:
        return f'starts at {move.start}'
    record = msgspec.convert(move.record, MoveRecord)
    share = f'{STAGE_SHARES[record.stage]:.0%} of requests'
    parts = [
        f'stage {record.stage + 1} of {len(STAGE_SHARES)} ({share})',
        f'since {format_time(record.since)}: {record.reason}',
    ]
    parts.extend(describe_evidence(route) for route in record.evidence)
    return '; '.join(parts)


def describe_evidence(route: RouteEvidence) -> str:
    """Return the counts of both versions on one route."""
    old = describe_counts(route.old)
    new = describe_counts(route.new)
    return f'{route.route} is {route.verdict}: old {old}, new {new}'


def describe_counts(counts: VersionCounts) -> str:
    """Return the counts of one version."""
    return (
        f'{counts.requests} requests with {counts.failures} failed'
        f' and {counts.slow} slow'
    )


def event_table(events: Iterable[EventEntry], times: Iterable[str]) -> Table:
    """Return the table of event records, each with its formatted time."""
    return make_table(
        'Event records',
        ('time', 'router', 'event', 'why', 'details'),
        (
            (
                time,
                event.vm,
                event.event,
                event.fields.get('reason'),
                describe_fields(
                    {
                        key: field
                        for key, field in event.fields.items()
                        if key != 'reason'
                    },
                ),
            )
            for event, time in zip(events, times, strict=True)
        ),
    )


def describe_fields(fields: dict[str, object]) -> str:
    """Return fields as `name=value` pairs."""
    return ' '.join(f'{key}={field}' for key, field in fields.items())
