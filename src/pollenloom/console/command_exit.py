"""End of a command with a message."""

import cappa
from rich.markup import escape


def command_exit(message: str, code: int) -> cappa.Exit:
    """Return the exception that ends a command and prints a message.

    Square brackets in ids and paths are escaped, since they would be
    interpreted as markup.
    """
    return cappa.Exit(escape(message), code=code)
