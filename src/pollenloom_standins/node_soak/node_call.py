"""What a caller of a round saw."""

import msgspec

from pollenloom_standins.node_soak.node_call_kind import NodeCallKind


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
