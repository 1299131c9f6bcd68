"""Decides whether a response without a mark of its end is complete."""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class NewConnection(StrEnum):
    """What a server did with a connection that was opened after a response.

    Something listens at the address if the connection was kept or dropped. It
    need not be the process that sent the response.
    """

    KEPT = 'kept'
    # Accepted or begun, and reset or closed at once, as by a server with a long
    # queue or by a proxy whose server has ended.
    DROPPED = 'dropped'
    # Nothing listens at the address.
    REFUSED = 'refused'
    # Nothing is known, since the network or this router was too slow.
    UNANSWERED = 'unanswered'


@unique
class EarlierConnections(StrEnum):
    """What is seen of the connections that were open beside a response.

    The end of a process closes all of them, so that one that is still open
    shows that the process runs.
    """

    OPEN = 'open'
    # The server closed one with the end of the response, and none is left.
    CLOSED = 'closed'
    # There was no other connection.
    ABSENT = 'absent'


@unique
class EndVerdict(StrEnum):
    """How a response ended that does not mark its end."""

    WHOLE = 'whole'
    BROKEN_OFF = 'broken_off'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class EndEvidence:
    """What a router knows when the connection of a response was closed.

    Attributes:
        new_connection: What became of a connection that was opened since.
        earlier_connections: What became of the others to the same server.
        is_leaving: Whether the server's entry says that it leaves, or it has
            none. Such a server stops listening before it ends.
        has_paused: Whether the router stood still, so that a server may have
            ended and started again since the response ended.
    """

    new_connection: NewConnection
    earlier_connections: EarlierConnections
    is_leaving: bool
    has_paused: bool

    def evaluate(self) -> EndVerdict:
        """Return how the response ended.

        A server that leaves as planned completes its responses before it ends,
        unless it closes other connections at the same moment.
        """
        is_refused = self.new_connection is NewConnection.REFUSED
        if self.earlier_connections is EarlierConnections.CLOSED:
            return EndVerdict.BROKEN_OFF if is_refused else EndVerdict.UNKNOWN
        if self.is_leaving:
            return EndVerdict.WHOLE
        if is_refused:
            return EndVerdict.BROKEN_OFF
        if self.earlier_connections is EarlierConnections.OPEN:
            return EndVerdict.WHOLE
        if self.new_connection is NewConnection.KEPT and not self.has_paused:
            return EndVerdict.WHOLE
        return EndVerdict.UNKNOWN
