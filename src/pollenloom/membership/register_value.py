"""Value of a register with its version."""

import msgspec


class RegisterValue(msgspec.Struct, frozen=True, array_like=True):
    """A value and the version that decides between two values.

    Attributes:
        counter: Compared first.
        origin: Breaks ties between equal counters.
        payload: Value, encoded by its owner.
    """

    counter: int
    origin: str
    payload: bytes

    def supersedes(self, other: 'RegisterValue | None') -> bool:
        """Whether this value replaces `other`."""
        if other is None:
            return True
        return (self.counter, self.origin) > (other.counter, other.origin)
