"""Runs a router on the users' machines: `python3 -m pollenloom.node`.

It does what `pollenloom node` does, without the libraries of the command
line: they take 15 MB on machines whose memory is paid for, and half of the
time to start.
"""

import os
import sys
from pathlib import Path

from pollenloom.console.exit_code import ExitCode
from pollenloom.console.node_process import run_node
from pollenloom.settings.settings_holder import (
    SETTINGS_VARIABLE,
    load_node_settings,
)


def main() -> int:
    """Run until a signal; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    checked = load_node_settings(path)
    if checked.model is None:
        for problem in checked.problems:
            sys.stderr.write(f'{problem.render()}\n')
        return ExitCode.INVALID_FILE
    return run_node(path, checked.model)


if __name__ == '__main__':
    sys.exit(main())
