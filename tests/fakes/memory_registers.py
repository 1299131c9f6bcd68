"""Registers of several VMs in one process."""

from collections.abc import Callable

from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers

Listener = Callable[[str, RegisterValue], None]


class MemoryRegisters(Registers):
    """Registers of one VM, linked to those of others.

    Attributes:
        links: Registers that a newer value is passed to at once.
    """

    def __init__(self) -> None:
        self.links: list[MemoryRegisters] = []
        self.known: dict[str, RegisterValue] = {}
        self.listeners: list[tuple[str, Listener]] = []

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    def get(self, key: str) -> RegisterValue | None:
        """Return the value of `key`."""
        return self.known.get(key)

    def keys(self, prefix: str) -> tuple[str, ...]:
        """Known keys that start with `prefix`."""
        return tuple(
            sorted(key for key in self.known if key.startswith(prefix))
        )

    def put(self, key: str, register: RegisterValue) -> bool:
        """Set a newer value and pass it on."""
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
        """Call `listener` for known and newer values."""
        self.listeners.append((prefix, listener))
        for key in self.keys(prefix):
            listener(key, self.known[key])

    def connect(self, other: 'MemoryRegisters') -> None:
        """Link two VMs and exchange what they know."""
        self.links.append(other)
        other.links.append(self)
        for key, register in tuple(self.known.items()):
            other.put(key, register)
        for key, register in tuple(other.known.items()):
            self.put(key, register)
