"""Kinds of listings of a store topic."""

from enum import Enum, unique


@unique
class ListingKind(Enum):
    """What a listing contains.

    Attributes:
        CHANGES: Records that were written since the latest listing.
        ALL_KEYS: The newest record of each key.
        RESTORED: The newest record of each key, for the first time since the
            store came back from an older copy. What is missing or older than
            what was read before may only be lost, until it is written again.
    """

    CHANGES = 'changes'
    ALL_KEYS = 'all_keys'
    RESTORED = 'restored'

    @property
    def has_all_keys(self) -> bool:
        """Whether keys that are missing have no record in the store."""
        return self is not ListingKind.CHANGES
