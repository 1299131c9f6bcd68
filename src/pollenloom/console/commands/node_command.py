"""`pollenloom node`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.console.command_end import command_end
from pollenloom.console.exit_code import ExitCode
from pollenloom.settings.settings_holder import SETTINGS_VARIABLE


@cappa.command(
    name='node',
    help="Run a router on the users' machines.",
    description='Relays requests by the configuration in the platform store. '
    'Runs until SIGTERM or SIGINT, then finishes accepted requests. SIGHUP '
    'reads the settings again. Writes its log as JSON lines to standard '
    'output.',
)
@dataclass(kw_only=True)
class NodeCommand:
    """Run a router on the users' machines."""

    settings: Annotated[
        Path | None,
        cappa.Arg(
            long='--settings',
            value_name='FILE',
            help='TOML file with the settings of this router; the default is '
            f'the path in {SETTINGS_VARIABLE}.',
        ),
    ] = None

    def __call__(self) -> None:
        """Run until a signal."""
        # The other commands start faster without the router's libraries.
        from pollenloom.console.node_process import run_node

        code = run_node(self.settings)
        if code is ExitCode.INVALID_FILE:
            raise cappa.Exit(code=code)
        if code is not ExitCode.OK:
            raise command_end(
                f'The router ended with {code.name.lower()}; see its log.',
                code=code,
            )
