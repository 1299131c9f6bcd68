"""`pollenloom publish`."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.console.exit_code import ExitCode


@cappa.command(name='publish')
@dataclass(frozen=True)
class PublishCommand:
    """Publish the service files as a whole.

    Attributes:
        directories: Directories to look for pollenloom.toml files in.
        settings: Router settings file to publish, too.
        json: Print the result as one JSON object.
    """

    directories: tuple[Path, ...] = ()
    settings: Annotated[Path | None, cappa.Arg(long=True)] = None
    json: Annotated[bool, cappa.Arg(long=True)] = field(default=False)

    def __call__(self) -> int:
        """Run the command."""
        return ExitCode.FAILURE
