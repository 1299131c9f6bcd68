"""One request as its caller saw it."""

import msgspec

from pollenloom_standins.node_soak.node_call_kind import NodeCallKind


class NodeCall(msgspec.Struct, kw_only=True):
    """One request of a caller; times are wall time in seconds.

    Attributes:
        node: VM id of the node that was called.
        boot: Number of the node's start in the round.
        key: API key that was sent.
        status: HTTP status; 0 if no response arrived.
        is_whole: Whether the response is complete by its framing.
        body: Part of the body that arrived.
        detail: Error that ended the call, for human readers.
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
            f'{"complete" if self.is_whole else "incomplete"} {self.detail}'
        )
