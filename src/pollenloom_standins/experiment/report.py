"""Tables and plots of all results of a directory."""

from pathlib import Path

import msgspec

from pollenloom_standins.experiment.plots import write_plots
from pollenloom_standins.experiment.results import RunResult
from pollenloom_standins.experiment.tables import tables


def write_report(output: Path) -> str:
    """Write plots and tables; return the tables."""
    decoder = msgspec.json.Decoder(RunResult)
    results = [
        decoder.decode(path.read_bytes())
        for path in sorted(output.glob('result-*.json'))
    ]
    write_plots(results, output / 'plots')
    text = tables(results)
    (output / 'tables.md').write_text(text)
    return text
