"""Value of a register with its version."""

import msgspec


class RegisterValue(msgspec.Struct, frozen=True, array_like=True):
    """A value and its version; the value with the highest version is kept.

    Attributes:
        counter: Compared first; the higher one is newer.
        origin: Breaks ties between equal counters.
        payload: Value, encoded by the service that writes the register.
    """

    counter: int
    origin: str
    payload: bytes

    def supersedes(self, other: 'RegisterValue | None') -> bool:
        """Whether this value replaces `other`; None stands for no value."""
        if other is None:
            return True
        return (self.counter, self.origin) > (other.counter, other.origin)
