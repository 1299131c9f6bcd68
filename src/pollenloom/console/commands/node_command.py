"""`pollenloom node`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.console.command_exit import command_exit
from pollenloom.console.exit_code import ExitCode
from pollenloom.settings.settings_holder import SETTINGS_VARIABLE


@cappa.command(
    name='node',
    help="Run a router on a VM of the users' platform.",
    description='Relays requests by the configuration in the platform store. '
    'Runs until SIGTERM or SIGINT, then finishes accepted requests. SIGHUP '
    'reloads the settings. Writes its log as JSON lines to standard output.',
)
@dataclass(kw_only=True)
class NodeCommand:
    """Runs a router on a VM of the users' platform."""

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
        """Run until a signal; exit with a message on an error."""
        # Imported here, since the other commands start faster without it.
        from pollenloom.console.node_process import run_node

        code = run_node(self.settings)
        if code is ExitCode.INVALID_FILE:
            raise cappa.Exit(code=code)
        if code is not ExitCode.OK:
            raise command_exit(
                f'The router ended with {code.name.lower()}; see its log.',
                code=code,
            )
