"""What callers and backend servers of a round saw."""

from enum import Enum, unique

import msgspec


@unique
class NodeCallKind(Enum):
    """Routes of the round's configuration; the value is the path."""

    READ = '/read/'
    ORDER = '/order/'
    STREAM = '/stream/'
    RESUME = '/resume/'

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in {NodeCallKind.STREAM, NodeCallKind.RESUME}

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self in {NodeCallKind.READ, NodeCallKind.RESUME}


class NodeCall(msgspec.Struct, kw_only=True):
    """One request of a caller; times are wall time in seconds.

    Attributes:
        boot: Number of the node's start, to tell its processes apart.
        key: API key that was sent.
        status: 0 if no answer came.
        is_whole: Whether the answer ended as its framing says.
        body: What came of the body.
    """

    request_id: str
    kind: NodeCallKind
    node: str
    boot: int
    key: str
    started: float
    ended: float = 0
    status: int = 0
    is_whole: bool = False
    body: bytes = b''
    detail: str = ''

    def describe(self) -> str:
        """Return the call in one line."""
        return (
            f'{self.request_id} {self.kind.value} at {self.node}, '
            f'{self.started:.3f} to {self.ended:.3f}: {self.status} '
            f'{"whole" if self.is_whole else "not whole"} {self.detail}'
        )


class NodeRun(msgspec.Struct, kw_only=True):
    """One request that arrived at a backend server.

    Attributes:
        is_run: Whether the server began to work on it.
        is_sealed: Whether it answered to the end.
    """

    request_id: str
    server: str
    at: float
    start_line: str
    account: str
    has_key: bool
    body: bytes
    is_run: bool = True
    is_sealed: bool = False


class NodeFault(msgspec.Struct, kw_only=True):
    """A fault or a planned operation.

    Attributes:
        recovered: When its target served again; 0 before.
        exit_code: Of a node that was stopped.
    """

    kind: str
    target: str
    started: float
    ended: float = 0
    recovered: float = 0
    exit_code: int = 0

    def overlaps(self, start: float, end: float) -> bool:
        """Whether any of it falls between two times."""
        last = self.recovered or self.ended
        return self.started <= end and (not last or start <= last)


class Announcement(msgspec.Struct, kw_only=True):
    """A change that the store has acknowledged.

    Attributes:
        subject: Server that leaves or has gone, or key that was revoked.
    """

    subject: str
    at: float


class NodeHistory(msgspec.Struct, kw_only=True):
    """All records of a round."""

    seed: int
    calls: list[NodeCall] = []
    runs: list[NodeRun] = []
    faults: list[NodeFault] = []
    leaving: list[Announcement] = []
    revoked: list[Announcement] = []

    def is_disturbed(self, target: str, start: float, end: float) -> bool:
        """Whether a fault of the target or of the store overlaps."""
        return any(
            fault.target in {target, 'store'} and fault.overlaps(start, end)
            for fault in self.faults
        )
