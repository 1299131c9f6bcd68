"""Keeps superseded states from the log out of the registers."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.membership.register_value import RegisterValue
    from pollenloom.membership.registers import Registers


class RegisterBarrier:
    """Withholds states until the log has been read to its end once.

    After a restart of the whole fleet, the log is read from its earliest
    record. Without the barrier, routers would apply states that were
    superseded long ago until the end of the log is reached.

    Attributes:
        is_open: Whether states are written to the registers at once.
        held: Newest state of each register that waits for the barrier.
    """

    def __init__(self, registers: 'Registers') -> None:
        self.registers = registers
        self.is_open = False
        self.held: dict[str, RegisterValue] = {}

    def put(self, key: str, register: 'RegisterValue') -> None:
        """Write a state to its register, or hold it until `open`."""
        if self.is_open:
            self.registers.put(key, register)
        elif register.supersedes(self.held.get(key)):
            self.held[key] = register

    def open(self) -> None:
        """Write held states to the registers, and later states at once.

        Call this when all records up to the end of the log have been applied.
        """
        self.is_open = True
        held = self.held
        self.held = {}
        for key, register in held.items():
            self.registers.put(key, register)
