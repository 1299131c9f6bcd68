"""Factors between units of the wire, of logs and of this project."""

from typing import Final

# Times are in seconds everywhere but at the edges.
MILLISECONDS: Final = 1000
