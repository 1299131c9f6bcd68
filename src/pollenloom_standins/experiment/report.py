"""Writes tables and plots of all results in a directory."""

from pathlib import Path

import msgspec

from pollenloom_standins.experiment.plots import write_plots
from pollenloom_standins.experiment.results import RunResult
from pollenloom_standins.experiment.tables import markdown_tables


def write_report(output: Path) -> str:
    """Write plots and tables to a directory; return the tables.

    Raises `msgspec.DecodeError` for an invalid result file.
    """
    decoder = msgspec.json.Decoder(RunResult)
    results = [
        decoder.decode(path.read_bytes())
        for path in sorted(output.glob('result-*.json'))
    ]
    write_plots(results, output / 'plots')
    text = markdown_tables(results)
    (output / 'tables.md').write_text(text)
    return text
