"""How a command ends with a message."""

import cappa
from rich.markup import escape


def command_end(message: str, code: int) -> cappa.Exit:
    """Return the exception that ends a command and prints a message.

    Square brackets in ids and paths are printed as they are; unescaped they
    would be read as markup.
    """
    return cappa.Exit(escape(message), code=code)
