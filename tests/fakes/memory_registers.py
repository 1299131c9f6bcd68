"""Registers in memory, replicated without a network."""

from collections.abc import Callable

from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers

Listener = Callable[[str, RegisterValue], None]


class MemoryRegisters(Registers):
    """Registers of one VM, linked to those of other VMs.

    Attributes:
        links: Registers that receive each newer value at once.
        known: Newest value by key.
        listeners: Prefixes and the listeners for keys that start with them.
    """

    def __init__(self) -> None:
        self.links: list[MemoryRegisters] = []
        self.known: dict[str, RegisterValue] = {}
        self.listeners: list[tuple[str, Listener]] = []

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def get(self, key: str) -> RegisterValue | None:
        """Return the newest value of `key`, None if there is none."""
        return self.known.get(key)

    def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the known keys that start with `prefix`, sorted."""
        return tuple(
            sorted(key for key in self.known if key.startswith(prefix))
        )

    def put(self, key: str, register: RegisterValue) -> bool:
        """Set a newer value and replicate it; return whether it was newer."""
        if not register.supersedes(self.known.get(key)):
            return False
        self.known[key] = register
        for prefix, listener in tuple(self.listeners):
            if key.startswith(prefix):
                listener(key, register)
        for link in self.links:
            link.put(key, register)
        return True

    def watch(self, prefix: str, listener: Listener) -> None:
        """Call `listener` now for known values and later for newer ones."""
        self.listeners.append((prefix, listener))
        for key in self.keys(prefix):
            listener(key, self.known[key])

    def connect(self, other: 'MemoryRegisters') -> None:
        """Link the registers of two VMs and exchange all known values."""
        self.links.append(other)
        other.links.append(self)
        for key, register in tuple(self.known.items()):
            other.put(key, register)
        for key, register in tuple(other.known.items()):
            self.put(key, register)
