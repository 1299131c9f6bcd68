"""`pollenloom check`."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.configuration.file_collector import collect_files
from pollenloom.configuration.file_loader import load_services
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.output import write_json, write_line, write_problems
from pollenloom.kernel.clock import Clock
from pollenloom.settings.settings_loader import load_settings
from pollenloom.validation.file_problem import FileProblem


@cappa.command(
    name='check',
    help='Check service files and router settings without publishing them.',
    description=(
        'Lists all problems of all files at once. The directories must'
        ' contain all service files of the configuration, as for publish.'
    ),
)
@dataclass(frozen=True)
class CheckCommand:
    """Checks files and lists their problems."""

    directories: Annotated[
        list[Path],
        cappa.Arg(help='Directories to look for pollenloom.toml files in.'),
    ] = field(default_factory=list)
    settings: Annotated[
        Path | None,
        cappa.Arg(long=True, help='Router settings file to check.'),
    ] = None
    json: Annotated[
        bool,
        cappa.Arg(long=True, help='Print the result as one JSON object.'),
    ] = False

    def __call__(self) -> int:
        """Check the files; return the exit code."""
        if self.settings is None and not self.directories:
            raise cappa.Exit(
                'nothing to check: give a directory or --settings',
                code=ExitCode.USAGE,
            )
        problems: list[FileProblem] = []
        if self.settings is not None:
            problems.extend(load_settings(self.settings).problems)
        services = 0
        if self.directories:
            collected = collect_files(self.directories)
            loaded = load_services(collected.files, Clock().wall())
            problems.extend((*collected.problems, *loaded.problems))
            services = len(loaded.services)
        self.report(problems, services)
        return ExitCode.INVALID_FILE if problems else ExitCode.OK

    def report(self, problems: list[FileProblem], services: int) -> None:
        """Write the result as text or JSON."""
        if self.json:
            found = [problem.to_json() for problem in problems]
            write_json({'valid': not problems, 'problems': found})
            return
        write_problems(problems)
        if not problems:
            write_line(f'valid; services: {services}')
