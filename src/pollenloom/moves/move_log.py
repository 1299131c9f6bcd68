"""Writes the states of moves to the platform's log."""

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from pollenloom.log_service.log_entry import encode_entry
from pollenloom.membership.register_value import RegisterValue
from pollenloom.moves.move_messages import MoveLogEntry
from pollenloom.moves.move_record import MoveRecord

if TYPE_CHECKING:
    from pollenloom.log_service.platform import Platform
    from pollenloom.membership.registers import Registers

RETRY_SECONDS: Final = 2.0


class MoveLog:
    """Appends states, which a fleet that restarts as a whole reads back."""

    def __init__(self, platform: 'Platform', registers: 'Registers') -> None:
        self.platform = platform
        self.registers = registers

    async def append(self, key: str, record: MoveRecord) -> None:
        """Append a state; retry until it is in the log or outdated."""
        entry = encode_entry(MoveLogEntry(record=record))
        while not self.is_outdated(key, record):
            if (await self.platform.append(entry)).is_ok():
                return
            await asyncio.sleep(RETRY_SECONDS)

    def is_outdated(self, key: str, record: MoveRecord) -> bool:
        """Whether a later state of the move is known."""
        register = self.registers.get(key)
        if register is None:
            return False
        return read_record(register).rank > record.rank


def read_record(register: RegisterValue) -> MoveRecord:
    """Return the state of a move that a register holds."""
    return msgspec.msgpack.decode(register.payload, type=MoveRecord)
