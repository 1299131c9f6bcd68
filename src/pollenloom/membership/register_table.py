"""Which register values hold."""

from itertools import starmap
from typing import TYPE_CHECKING

import xxhash

from pollenloom.membership.register_messages import (
    KeyedRegister,
    RegisterVersion,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pollenloom.membership.register_value import RegisterValue

# A value must fit into one frame of 1 MiB with room for key and headers.
MAX_PAYLOAD_BYTES = 1_000_000


class RegisterTable:
    """Values by key, merged by highest version in any order of delivery.

    Attributes:
        registers: Values by key.
        digest: Hash of all versions.
    """

    def __init__(self) -> None:
        self.registers: dict[str, RegisterValue] = {}
        self.digest = 0

    def put(self, key: str, register: 'RegisterValue') -> bool:
        """Take a value if it is newer; return whether it was.

        Raises:
            ValueError: If the payload does not fit into a frame.
        """
        if len(register.payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(f'register {key}: payload too large')
        current = self.registers.get(key)
        if not register.supersedes(current):
            return False
        if current is not None:
            self.digest ^= fingerprint(version_of(key, current))
        self.digest ^= fingerprint(version_of(key, register))
        self.registers[key] = register
        return True

    def versions(self) -> tuple[RegisterVersion, ...]:
        """Versions of all registers."""
        return tuple(starmap(version_of, self.registers.items()))

    def lacks(self, version: RegisterVersion) -> bool:
        """Whether a version offered by another router is newer."""
        current = self.registers.get(version.key)
        if current is None:
            return True
        held = (current.counter, current.origin)
        return (version.counter, version.origin) > held

    def newer_than(
        self,
        versions: 'Iterable[RegisterVersion]',
    ) -> tuple[RegisterVersion, ...]:
        """Versions that a router with the given ones lacks."""
        theirs = {version.key: version for version in versions}
        return tuple(
            version
            for version in self.versions()
            if version.key not in theirs
            or rank(version) > rank(theirs[version.key])
        )

    def batch(
        self,
        keys: 'Iterable[str]',
    ) -> tuple[KeyedRegister, ...]:
        """Values of the first of the keys, as many as fit into a frame."""
        chosen: list[KeyedRegister] = []
        room = MAX_PAYLOAD_BYTES
        for key in keys:
            register = self.registers.get(key)
            if register is None:
                continue
            room -= len(register.payload) + len(key)
            if room < 0 and chosen:
                break
            chosen.append(KeyedRegister(key, register))
        return tuple(chosen)


def version_of(key: str, register: 'RegisterValue') -> RegisterVersion:
    """Version of a value."""
    return RegisterVersion(key, register.counter, register.origin)


def rank(version: RegisterVersion) -> tuple[int, str]:
    """Order of the versions of one key."""
    return version.counter, version.origin


def fingerprint(version: RegisterVersion) -> int:
    """Hash of a version for digests."""
    return xxhash.xxh3_64_intdigest(
        f'{version.key} {version.counter} {version.origin}'.encode(),
    )
