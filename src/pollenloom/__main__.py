"""Entry point of the command line."""

import os
import sys
from collections.abc import Sequence

import cappa

from pollenloom.console.application import Application


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    # libuv reads it when the event loop is made.
    os.environ['UV_USE_IO_URING'] = '0'
    argv = sys.argv[1:] if arguments is None else list(arguments)
    code: int = cappa.invoke(Application, argv=argv)
    return code


if __name__ == '__main__':
    sys.exit(main())
