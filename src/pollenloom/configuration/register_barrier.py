"""Keeps superseded states of the log out of the registers."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.membership.register_value import RegisterValue
    from pollenloom.membership.registers import Registers


class RegisterBarrier:
    """Holds states back until the log was once read to its end.

    After a restart of the whole fleet the log is read from its earliest
    record on. Without the barrier, routers would put states in force that were
    superseded long ago, for as long as the reading takes.
    """

    def __init__(self, registers: 'Registers') -> None:
        self.registers = registers
        self.is_open = False
        self.held: dict[str, RegisterValue] = {}

    def put(self, key: str, register: 'RegisterValue') -> None:
        """Put a state of the log into its register, now or later."""
        if self.is_open:
            self.registers.put(key, register)
        elif register.supersedes(self.held.get(key)):
            self.held[key] = register

    def open(self) -> None:
        """Put held states into the registers, and later ones at once.

        Called when all records up to the end of the log have been applied.
        """
        self.is_open = True
        held = self.held
        self.held = {}
        for key, register in held.items():
            self.registers.put(key, register)
