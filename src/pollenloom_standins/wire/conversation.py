"""What a client and a backend server do in one conversation."""

from enum import Enum, unique

import msgspec


@unique
class RouteChoice(Enum):
    """Route that the request is sent to."""

    READ = 'read'
    ORDER = 'order'
    STREAM = 'stream'


@unique
class Framing(Enum):
    """How a message marks the end of its body."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


@unique
class Extra(Enum):
    """What a server writes besides its answer."""

    NONE = 'none'
    INTERIM = 'interim response before the answer'
    EARLIER = 'answer to an earlier request before the answer'
    COPY = 'the answer once more'
    OTHER = 'answer to another request behind the answer'
    GARBAGE = 'bytes that are no response behind the answer'


@unique
class ConnectionEnd(Enum):
    """What a server does to the connection after its answer."""

    KEEP = 'keep'
    CLOSE = 'close'
    RESET = 'reset'


@unique
class Fate(Enum):
    """What happens to the server with the end of its answer.

    Attributes:
        RUNS: Nothing.
        FULL: It resets new connections, as with a long queue.
        GONE: Its process ends, which closes its connections and its port.
        LEFT: The same, after it said in the answer that it leaves.
        BACK: It ends and is back while the router is frozen.
    """

    RUNS = 'runs'
    FULL = 'full'
    GONE = 'gone'
    LEFT = 'left'
    BACK = 'back'


class ClientPlan(msgspec.Struct, frozen=True):
    """What the client does.

    Attributes:
        body_bytes: Bytes of the body.
        is_chunked: Whether the body is sent in chunks.
        chunk_bytes: Bytes of a chunk.
        write_bytes: Bytes of a write; 0 for all at once.
        offers_upgrade: Whether it offers HTTP/2.
        expects_continue: Whether it asks for an interim response.
    """

    route: RouteChoice
    body_bytes: int = 0
    is_chunked: bool = False
    chunk_bytes: int = 100
    write_bytes: int = 0
    offers_upgrade: bool = False
    expects_continue: bool = False


class ServerPlan(msgspec.Struct, frozen=True):
    """What the server does.

    Attributes:
        body_bytes: Bytes of the body, or of each event of a stream.
        events: Events of a stream.
        chunk_bytes: Bytes of a chunk.
        write_bytes: Bytes of a write; 0 for all at once.
        missing_events: Last events of a stream that it does not write.
        missing_bytes: Bytes at the end of what it writes otherwise that are
            missing.
        is_endless: Whether it repeats the body until the connection is closed.
    """

    framing: Framing = Framing.LENGTH
    body_bytes: int = 100
    events: int = 3
    chunk_bytes: int = 100
    write_bytes: int = 0
    missing_events: int = 0
    missing_bytes: int = 0
    is_endless: bool = False
    extra: Extra = Extra.NONE
    end: ConnectionEnd = ConnectionEnd.KEEP
    fate: Fate = Fate.RUNS


class Conversation(msgspec.Struct, frozen=True):
    """One request and its answer."""

    client: ClientPlan
    server: ServerPlan = ServerPlan()

    @property
    def is_broken_off(self) -> bool:
        """Whether the server does not write its whole answer."""
        server = self.server
        is_stream = self.client.route is RouteChoice.STREAM
        return bool(
            server.missing_bytes or (is_stream and server.missing_events)
        )

    @property
    def is_sound(self) -> bool:
        """Whether the answer has to reach the client."""
        server = self.server
        if self.is_broken_off or server.is_endless:
            return False
        return (
            server.extra in {Extra.NONE, Extra.INTERIM}
            and server.end is not ConnectionEnd.RESET
            and server.fate in {Fate.RUNS, Fate.FULL}
        )
