"""Position of a record in the platform's store."""

from typing import NamedTuple

from pollenloom.core.ids import Offset, StoreEra


class StorePosition(NamedTuple):
    """Offset of a record in a topic, which counts within its era only.

    Positions of one topic are ordered; those of a later era come later.
    """

    era: StoreEra
    offset: Offset
