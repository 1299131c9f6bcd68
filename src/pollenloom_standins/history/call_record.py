"""One call as its caller saw it."""

from enum import Enum, unique

import msgspec

from pollenloom.core.ids import AccountId, VmId


@unique
class CallKind(Enum):
    """Kinds of calls of the load generator."""

    STREAM = 'stream'
    MODEL = 'model'
    READ = 'read'
    ORDER = 'order'


@unique
class CallOutcome(Enum):
    """How a call ended for its caller.

    UNEXPECTED is a response with other content than the expected one.
    TRUNCATED ends like a complete response, but is not. CUT is a response that
    began and is visibly incomplete, by an error event or a broken connection.
    REFUSED is an HTTP error. LOST means that no response arrived on the
    connection, UNREACHED that no connection was made.
    """

    COMPLETE = 'whole'
    UNEXPECTED = 'wrong'
    TRUNCATED = 'short'
    CUT = 'cut'
    REFUSED = 'refused'
    LOST = 'lost'
    UNREACHED = 'unreached'


class CallRecord(msgspec.Struct, kw_only=True):
    """One call; times are wall time, seconds since the Unix epoch.

    Attributes:
        account: Client account that called.
        kind: What was called.
        vm: Router that was called.
        started: When the call began.
        ended: When the caller knew the outcome.
        outcome: How it ended.
        key: Idempotency key of an order, else empty.
        status: HTTP status; 0 if no response arrived.
        run: Whether the request ran (`no`, `unknown`), as a refusal or an
            error event says.
        error_kind: Error kind of a refusal or of an error event.
        request_id: Id that the router gave the call.
        answer: Body of an order's response, or part of the body of a
            response that is not as expected.
        detail: Explanation of the outcome for human readers.
    """

    account: AccountId
    kind: CallKind
    vm: VmId
    started: float
    ended: float = 0
    outcome: CallOutcome = CallOutcome.LOST
    key: str = ''
    status: int = 0
    run: str = ''
    error_kind: str = ''
    request_id: str = ''
    answer: str = ''
    detail: str = ''

    def describe(self) -> str:
        """Return the call in one line."""
        return (
            f'{self.kind.value} of {self.account} at {self.vm}, id '
            f'{self.request_id or "unknown"}, {self.started:.3f} to '
            f'{self.ended:.3f}: {self.outcome.value} {self.status} '
            f'{self.error_kind} {self.detail}'
        )
