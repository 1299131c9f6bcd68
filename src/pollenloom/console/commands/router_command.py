"""`pollenloom router`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.console.command_exit import command_exit
from pollenloom.console.exit_code import ExitCode
from pollenloom.settings.router_settings import RouterSettings
from pollenloom.settings.secret_files import check_secret_files
from pollenloom.settings.settings_loader import load_settings


@cappa.command(
    name='router',
    help='Run a router on this VM.',
    description='Runs until SIGTERM or SIGINT, then finishes accepted '
    'requests within limits.shutdown_seconds. Writes one JSON line with its '
    'addresses to standard output when it is ready, and its log as JSON lines '
    'to standard error. A second signal ends it immediately. While it waits '
    'for the platform, /healthz on the operators address responds.',
)
@dataclass(kw_only=True)
class RouterCommand:
    """Runs a router on this VM."""

    settings: Annotated[
        Path,
        cappa.Arg(
            long='--settings',
            value_name='FILE',
            help='TOML file with the settings of this router.',
        ),
    ]

    def __call__(self) -> None:
        """Run until a signal; exit with a message on an error."""
        # Imported here, since the other commands start faster without it.
        from pollenloom.console.router_run import run_router

        code = run_router(read_settings(self.settings))
        if code is not ExitCode.OK:
            raise command_exit(
                f'The router ended with {code.name.lower()}; see its log.',
                code=code,
            )


def read_settings(path: Path) -> RouterSettings:
    """Return the settings of a file.

    Raises:
        cappa.Exit: If they are not valid; the message lists all problems.
    """
    checked = load_settings(path)
    problems = list(checked.problems)
    if checked.model is not None:
        problems.extend(check_secret_files(path, checked.model))
    if checked.model is None or problems:
        message = '\n'.join(problem.render() for problem in problems)
        raise command_exit(message, code=ExitCode.INVALID_FILE)
    return checked.model
