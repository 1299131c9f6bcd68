"""`pollenloom publish`."""

import asyncio
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Final

import cappa

from pollenloom.configuration.file_collector import collect_files
from pollenloom.configuration.publish_result import (
    PublishResult,
    PublishState,
)
from pollenloom.configuration.publisher import Publisher
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.output import (
    write_error,
    write_json,
    write_line,
    write_problems,
)
from pollenloom.console.platform_client import open_platform
from pollenloom.core.ids import Revision
from pollenloom.kernel.clock import Clock
from pollenloom.settings.router_settings import PlatformSettings

PLATFORM_VARIABLE: Final = 'POLLENLOOM_PLATFORM'
EXIT_CODES: Final = MappingProxyType(
    {
        PublishState.PUBLISHED: ExitCode.OK,
        PublishState.UNCHANGED: ExitCode.OK,
        PublishState.LOST: ExitCode.LOST,
        PublishState.INVALID: ExitCode.INVALID_FILE,
        PublishState.UNAVAILABLE: ExitCode.PLATFORM,
        PublishState.UNKNOWN: ExitCode.PLATFORM,
    }
)


@cappa.command(
    name='publish',
    help='Publish the service files below directories as one configuration.',
    description=(
        'The files replace the whole configuration in force. If another'
        ' operator publishes at the same time, one of the two fails and its'
        ' message names the other publisher.'
    ),
)
@dataclass(frozen=True)
class PublishCommand:
    """Publishes service files and prints the outcome."""

    directories: Annotated[
        list[Path],
        cappa.Arg(
            num_args=-1,
            required=True,
            help='Directories to look for pollenloom.toml files in.',
        ),
    ]
    publisher: Annotated[
        str,
        cappa.Arg(
            long=True, help='Your name, which is shown to other operators.'
        ),
    ]
    platform: Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Base URL of the platform, such as http://10.0.0.1:7000.'
            f' Default: {PLATFORM_VARIABLE}.',
        ),
    ] = field(default_factory=lambda: os.environ.get(PLATFORM_VARIABLE, ''))
    base: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='Only publish if this is the revision in force.',
        ),
    ] = None
    timeout: Annotated[
        float,
        cappa.Arg(long=True, help='Time limit for the publish, in seconds.'),
    ] = 30
    json: Annotated[
        bool,
        cappa.Arg(long=True, help='Print the result as one JSON object.'),
    ] = False

    def __call__(self) -> int:
        """Publish the files; return the exit code."""
        if not self.platform.startswith('http://'):
            raise cappa.Exit(
                '--platform: expected a URL that starts with http://,'
                f' found {self.platform!r}; use the option or set'
                f' {PLATFORM_VARIABLE}',
                code=ExitCode.USAGE,
            )
        collected = collect_files(self.directories)
        if collected.problems:
            if self.json:
                write_json(
                    {
                        'state': PublishState.INVALID.value,
                        'problems': collected.problems,
                    }
                )
            write_problems(collected.problems)
            return ExitCode.INVALID_FILE
        result = asyncio.run(self.publish(collected.files))
        if self.json:
            write_json(result.to_json())
        else:
            write_result(result)
        return EXIT_CODES[result.state]

    async def publish(self, files: Mapping[str, str]) -> PublishResult:
        """Publish the files through the platform."""
        settings = PlatformSettings(url=self.platform)
        async with open_platform(settings) as platform:
            publisher = Publisher(
                platform,
                Clock(),
                self.publisher,
                self.timeout,
            )
            base = None if self.base is None else Revision(self.base)
            return await publisher.publish(files, base)


def write_result(result: PublishResult) -> None:
    """Write a result as text."""
    write_problems(result.problems)
    write_problems(result.warnings, 'warning')
    text = describe_result(result)
    if EXIT_CODES[result.state] is ExitCode.OK:
        write_line(text)
    else:
        write_error(f'error: {text}')


def describe_result(result: PublishResult) -> str:
    """Return the outcome of a publish as one sentence."""
    in_force = f'revision {result.revision} by {result.publisher}'
    if result.state is PublishState.PUBLISHED:
        return f'published revision {result.revision}'
    if result.state is PublishState.UNCHANGED:
        return f'nothing to publish: the files are {in_force}'
    if result.state is PublishState.LOST:
        return f'not published: {in_force} is in force instead'
    if result.state is PublishState.INVALID:
        return 'not published: the files are not valid'
    if result.state is PublishState.UNAVAILABLE:
        return f'not published: platform unavailable: {result.detail}'
    return (
        f'it is not known whether publish {result.publish_id} took effect:'
        f' {result.detail}; run the command again to find out'
    )
