"""Reports what was seen in a run of conversations."""

import sys
from pathlib import Path

import msgspec
from matplotlib import pyplot as plt

from pollenloom_standins.wire.wire_run import WireRun


def encode_report(run: WireRun) -> bytes:
    """Return a run as JSON."""
    return msgspec.json.encode(
        {
            'played': run.played,
            'seconds': round(run.seconds, 1),
            'statuses': {
                str(status): count for status, count in run.statuses.items()
            },
            'broken': run.broken,
        }
    )


def print_report(run: WireRun) -> None:
    """Print a run for a reader."""
    rate = run.played / run.seconds if run.seconds else 0
    lines = [
        f'{run.played} conversations in {run.seconds:.0f} s ({rate:.0f}/s)',
        *(
            f'status {status or "none"}: {count}'
            for status, count in sorted(run.statuses.items())
        ),
    ]
    for name, broken in run.broken.items():
        shortest = msgspec.json.encode(broken.shortest).decode()
        lines.append(
            f'{name}: {broken.count} times, first in conversation '
            f'{broken.first_at}: {broken.detail}\n  {shortest}'
        )
    lines.append('')
    sys.stdout.write('\n'.join(lines))


def draw_report(run: WireRun, path: Path) -> None:
    """Draw how many conversations ended in which way."""
    outcomes = {
        f'status {status or "none"}': count
        for status, count in sorted(run.statuses.items())
    }
    outcomes |= {name: each.count for name, each in run.broken.items()}
    figure, axes = plt.subplots(figsize=(7, 3))
    axes.barh(list(outcomes), list(outcomes.values()))
    axes.set_xlabel('conversations')
    axes.set_title(f'Outcomes of {run.played} conversations')
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
