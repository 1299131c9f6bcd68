"""`pollenloom check-configuration`."""

import asyncio
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.configuration.configuration_differences import (
    ConfigurationDifference,
)
from pollenloom.console.command_exit import command_exit
from pollenloom.console.configuration_check import (
    CheckedFile,
    check_file,
    compare_entries,
    read_in_force,
)
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.output import write_error, write_json, write_line
from pollenloom.core.error_kind import ErrorKind
from pollenloom.routing.routing_configuration import RoutingConfiguration


@cappa.command(
    name='check-configuration',
    help="Check a configuration of the users' platform before it is sent.",
    description=(
        'Lists the errors for which routers reject it, entries without effect,'
        ' limits that contradict each other, and what it changes of the'
        ' configuration in force. Uses the code with which routers read it.'
    ),
)
@dataclass(frozen=True)
class CheckConfigurationCommand:
    """Checks a configuration file and compares it with the one in force."""

    file: Annotated[
        Path,
        cappa.Arg(help='JSON file with the configuration, as it is sent.'),
    ]
    against: Annotated[
        Path | None,
        cappa.Arg(long=True, help='File with the configuration in force.'),
    ] = None
    store: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            help="host:port of the platform's store, to read the"
            ' configuration in force from it.',
        ),
    ] = None
    json: Annotated[
        bool,
        cappa.Arg(long=True, help='Print the result as one JSON object.'),
    ] = False

    def __call__(self) -> int:
        """Check the file; return the exit code."""
        if self.against is not None and self.store is not None:
            raise cappa.Exit(
                'give --against or --store, not both', code=ExitCode.USAGE
            )
        # Imported here, since the other commands start faster without it.
        from pollenloom.console.node_process import configuration_format

        checked = check_file(self.file, configuration_format())
        differences: list[ConfigurationDifference] = []
        current = self.in_force()
        if checked.entries is not None and current is not None:
            differences, found = compare_entries(checked.entries, current)
            checked = replace(checked, findings=(*checked.findings, *found))
        self.report(checked, differences)
        if not checked.is_valid:
            return ExitCode.INVALID_FILE
        return ExitCode.WARNINGS if checked.findings else ExitCode.OK

    def in_force(self) -> RoutingConfiguration | None:
        """Return the configuration to compare with, if there is one."""
        from pollenloom.console.node_process import (
            configuration_format,
            open_store,
        )

        if self.against is not None:
            current = check_file(self.against, configuration_format())
            if current.entries is None:
                for placed in current.place_findings():
                    write_error(placed.render())
                raise cappa.Exit(code=ExitCode.INVALID_FILE)
            return current.entries.configuration
        if self.store is None:
            return None
        try:
            store = open_store(self.store)
        except ValueError:
            raise command_exit(
                f'--store: expected host:port, found {self.store!r}',
                ExitCode.USAGE,
            ) from None
        found = asyncio.run(read_in_force(store))
        if found.is_ok():
            return found.ok
        code = ExitCode.PLATFORM
        if found.error.kind is ErrorKind.CONFIGURATION_INVALID:
            code = ExitCode.INVALID_FILE
        raise command_exit(f'store {self.store}: {found.error.detail}', code)

    def report(
        self, checked: CheckedFile, differences: list[ConfigurationDifference]
    ) -> None:
        """Write the result as text or JSON."""
        placed = checked.place_findings()
        if self.json:
            write_json(
                {
                    'valid': checked.is_valid,
                    'findings': [found.to_json() for found in placed],
                    'differences': [
                        {
                            'kind': difference.kind.value,
                            'subject': difference.subject,
                            'detail': difference.detail,
                        }
                        for difference in differences
                    ],
                }
            )
            return
        for found in placed:
            write_error(found.render())
        for difference in differences:
            detail = f': {difference.detail}' if difference.detail else ''
            write_line(f'{difference.kind.value} {difference.subject}{detail}')
        if checked.entries is not None:
            write_line(
                f'valid; routes: {len(checked.entries.routes)}, services:'
                f' {len(checked.entries.services)}, accounts:'
                f' {len(checked.entries.accounts)}'
            )
