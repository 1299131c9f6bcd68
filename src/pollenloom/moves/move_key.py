"""Keys of the registers that hold the states of moves."""

from typing import TYPE_CHECKING, Final

from pollenloom.core.ids import MoveId, ServiceId

if TYPE_CHECKING:
    from pollenloom.configuration.move_entry import MoveEntry

REGISTER_PREFIX: Final = 'move/'


def make_key(service: ServiceId, move: MoveId) -> str:
    """Return the register key of a move, given its ids."""
    return f'{REGISTER_PREFIX}{service}/{move}'


def register_key(service: ServiceId, move: 'MoveEntry') -> str:
    """Return the register key of a configured move."""
    return make_key(service, move.name)
