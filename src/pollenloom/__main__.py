"""Entry point of the command line."""

import os
import sys
from collections.abc import Sequence

import cappa

from pollenloom.console.command_line import CommandLine
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.output import write_error


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    # libuv reads this when the event loop is created; io_uring is not allowed.
    os.environ['UV_USE_IO_URING'] = '0'
    argv = sys.argv[1:] if arguments is None else list(arguments)
    try:
        code: int = cappa.invoke(CommandLine, argv=argv)
    except KeyboardInterrupt:
        write_error('error: interrupted')
        return ExitCode.FAILURE
    return code


if __name__ == '__main__':
    sys.exit(main())
