"""Conversion factors between units."""

from typing import Final

# Internal times are in seconds; only messages and logs have milliseconds.
MILLISECONDS_PER_SECOND: Final = 1000
