"""`pollenloom check`."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.console.exit_code import ExitCode


@cappa.command(name='check')
@dataclass(frozen=True)
class CheckCommand:
    """Check service files and router settings without publishing them.

    Attributes:
        directories: Directories to look for pollenloom.toml files in.
        settings: Router settings file to check, too.
        json: Print the result as one JSON object.
    """

    directories: tuple[Path, ...] = ()
    settings: Annotated[Path | None, cappa.Arg(long=True)] = None
    json: Annotated[bool, cappa.Arg(long=True)] = field(default=False)

    def __call__(self) -> int:
        """Run the command."""
        return ExitCode.FAILURE
