"""Formats results as Markdown tables."""

from collections.abc import Iterator, Sequence
from types import MappingProxyType
from typing import Final

from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom_standins.experiment.results import RunResult
from pollenloom_standins.experiment.table_column import (
    TableColumn,
    figure_column,
    gap_column,
    overload_gap,
)

BYTES_PER_KILOBYTE: Final = 1000
Columns = tuple[TableColumn, ...]

CALL_COUNTS: Final = (
    TableColumn('served', lambda result: result.calls.served, 0),
    TableColumn('refused', lambda result: result.calls.refused, 0),
    TableColumn('failed', lambda result: result.calls.failed, 0),
)
BUSY_WHILE_WAITING: Final = TableColumn(
    'busy while waiting',
    lambda result: result.utilisation.busy_while_waiting,
)
PEAK_LOAD: Final = TableColumn(
    'peak load of a server',
    lambda result: result.utilisation.peak_load,
)
FIRST_TOKEN: Final = (
    TableColumn(
        'first token median s',
        lambda result: result.first_token.median,
    ),
    TableColumn('p95 s', lambda result: result.first_token.p95),
)
OVERLOAD_GAP: Final = TableColumn(
    'gap 5 s, overloading accounts',
    overload_gap,
    0,
)
FAIRNESS: Final = (
    gap_column(0, 2),
    gap_column(1, 5),
    gap_column(2, 10),
    TableColumn('largest 5 s', lambda result: result.gaps[1].largest_gap, 0),
    OVERLOAD_GAP,
    TableColumn('least part 5 s', lambda result: result.gaps[1].least_part),
    BUSY_WHILE_WAITING,
    TableColumn(
        'tokens/s',
        lambda result: result.utilisation.tokens_per_second,
        0,
    ),
    PEAK_LOAD,
    TableColumn(
        'time above slots',
        lambda result: result.utilisation.overloaded_time,
    ),
)
LATENCY: Final = (
    *FIRST_TOKEN,
    TableColumn(
        'small accounts median s',
        lambda result: result.first_token_small.median,
    ),
    TableColumn(
        'small p95 s',
        lambda result: result.first_token_small.p95,
    ),
    TableColumn(
        'between tokens median ms',
        lambda result: result.token_gap.median * MILLISECONDS_PER_SECOND,
        0,
    ),
    TableColumn(
        'p95 ms',
        lambda result: result.token_gap.p95 * MILLISECONDS_PER_SECOND,
        0,
    ),
    TableColumn(
        'reads p95 ms',
        lambda result: result.read_time.p95 * MILLISECONDS_PER_SECOND,
        0,
    ),
    *CALL_COUNTS,
)
ROUTER_USE: Final = (
    TableColumn(
        'sent kB/s, no load',
        lambda result: result.idle_use.sent_bytes / BYTES_PER_KILOBYTE,
    ),
    TableColumn(
        'sent kB/s',
        lambda result: result.load_use.sent_bytes / BYTES_PER_KILOBYTE,
    ),
    TableColumn(
        'frames/s',
        lambda result: result.load_use.sent_frames,
        0,
    ),
    TableColumn(
        'core, no load',
        lambda result: result.idle_use.processor_seconds,
        3,
    ),
    TableColumn(
        'core',
        lambda result: result.load_use.processor_seconds,
        3,
    ),
    TableColumn(
        'core, busiest router',
        lambda result: result.load_use.busiest_processor_seconds,
        3,
    ),
    TableColumn(
        'owner changes',
        lambda result: result.owner_changes,
        0,
    ),
    TableColumn(
        'wait for a processor',
        lambda result: result.load_use.processor_wait,
        3,
    ),
    TableColumn(
        'largest memory MB',
        lambda result: result.load_use.memory_bytes / 1e6,
        0,
    ),
)
# Groups of columns of each experiment; each group makes a table.
TABLES: Final = MappingProxyType(
    {
        'fairness': (FAIRNESS, LATENCY, ROUTER_USE),
        'data_centre': (
            (
                figure_column('no_new_work_seconds'),
                figure_column('no_new_work_after_answer'),
                figure_column('new_work_after_3_seconds', 0),
                figure_column('runs_cut', 0),
                figure_column('full_use_seconds'),
                *CALL_COUNTS,
                BUSY_WHILE_WAITING,
            ),
        ),
        'cold_start': (
            (
                figure_column('cold_overloads', 0),
                figure_column('seconds_below_full_use'),
                figure_column('served_by_server', 0),
                *CALL_COUNTS,
                BUSY_WHILE_WAITING,
            ),
        ),
        'owner_loss': (
            (
                figure_column('longest_pause_seconds'),
                figure_column('idle_slot_seconds', 0),
                figure_column('peak_load'),
                figure_column('overloaded_seconds'),
                *CALL_COUNTS,
            ),
        ),
        'version_move': (
            (
                figure_column('done', 0),
                figure_column('taken_back', 0),
                figure_column('seconds'),
                figure_column('new_version_part', 3),
                figure_column('failed_by_new_version', 0),
                figure_column('runs_1_s_after_end', 0),
                TableColumn(
                    'failed calls',
                    lambda result: result.reads.failed,
                    0,
                ),
            ),
        ),
        'affinity': (
            (
                figure_column('cached_part'),
                figure_column('whole_prompts_cached'),
                *FIRST_TOKEN,
                *CALL_COUNTS,
            ),
        ),
    }
)


def markdown_tables(results: Sequence[RunResult]) -> str:
    """Return the tables of all experiments with results, by workload."""
    sections: list[str] = []
    for experiment, groups in TABLES.items():
        experiment_results = [
            result for result in results if result.experiment == experiment
        ]
        for workload in sorted(
            {result.workload for result in experiment_results}
        ):
            rows = [
                result
                for result in experiment_results
                if result.workload == workload
            ]
            seeds = sorted({result.seed for result in rows})
            sections.append(f'### {experiment}, {workload}, seeds {seeds}')
            sections.extend(
                '\n'.join(table_lines(rows, columns)) for columns in groups
            )
    return ''.join(f'{section}\n\n' for section in sections)


def table_lines(
    results: Sequence[RunResult], columns: Columns
) -> Iterator[str]:
    """Yield the lines of a table with one row for each variant."""
    titles = ' | '.join(column.title for column in columns)
    yield f'| variant | {titles} |'
    separator = '|---' * (len(columns) + 1)
    yield f'{separator}|'
    for variant in dict.fromkeys(result.variant for result in results):
        rows = [result for result in results if result.variant == variant]
        cells = ' | '.join(column.cell(rows) for column in columns)
        yield f'| {variant} | {cells} |'
