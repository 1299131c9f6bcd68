"""Table of the newest value of each register."""

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

# A value must fit into one frame of 1 MiB together with key and headers.
MAX_PAYLOAD_BYTES = 1_000_000


class RegisterTable:
    """Values by key; the highest version wins in any order of delivery.

    Attributes:
        registers: Values by key.
        digest: Hash of all versions.
    """

    def __init__(self) -> None:
        self.registers: dict[str, RegisterValue] = {}
        self.digest = 0

    def put(self, key: str, register: 'RegisterValue') -> bool:
        """Store a value if it is newer; return whether it was.

        Raises:
            ValueError: If the payload does not fit into a frame.
        """
        if len(register.payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(f'register {key}: payload too large')
        current = self.registers.get(key)
        if not register.supersedes(current):
            return False
        if current is not None:
            self.digest ^= version_hash(version_of(key, current))
        self.digest ^= version_hash(version_of(key, register))
        self.registers[key] = register
        return True

    def versions(self) -> tuple[RegisterVersion, ...]:
        """Versions of all registers, unsorted."""
        return tuple(starmap(version_of, self.registers.items()))

    def lacks(self, version: RegisterVersion) -> bool:
        """Whether a version is newer than the stored one, if any."""
        current = self.registers.get(version.key)
        if current is None:
            return True
        local_rank = (current.counter, current.origin)
        return (version.counter, version.origin) > local_rank

    def newer_than(
        self,
        versions: 'Iterable[RegisterVersion]',
    ) -> tuple[RegisterVersion, ...]:
        """Stored versions that a router with the given versions lacks."""
        remote_versions = {version.key: version for version in versions}
        return tuple(
            version
            for version in self.versions()
            if version.key not in remote_versions
            or rank(version) > rank(remote_versions[version.key])
        )

    def batch(
        self,
        keys: 'Iterable[str]',
    ) -> tuple[KeyedRegister, ...]:
        """Values of the keys in this order, as many as fit into a frame.

        Unknown keys are skipped.
        """
        chosen: list[KeyedRegister] = []
        remaining_bytes = MAX_PAYLOAD_BYTES
        for key in keys:
            register = self.registers.get(key)
            if register is None:
                continue
            remaining_bytes -= len(register.payload) + len(key)
            if remaining_bytes < 0 and chosen:
                break
            chosen.append(KeyedRegister(key, register))
        return tuple(chosen)


def version_of(key: str, register: 'RegisterValue') -> RegisterVersion:
    """Return the version of a register value."""
    return RegisterVersion(key, register.counter, register.origin)


def rank(version: RegisterVersion) -> tuple[int, str]:
    """Sort key of the versions of one register; the highest is newest."""
    return version.counter, version.origin


def version_hash(version: RegisterVersion) -> int:
    """Hash of a version for digests."""
    return xxhash.xxh3_64_intdigest(
        f'{version.key} {version.counter} {version.origin}'.encode(),
    )
