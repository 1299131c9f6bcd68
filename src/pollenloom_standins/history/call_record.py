"""What a caller saw of one call."""

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

    CUT is an answer that began and is visibly not whole: an error event or a
    broken connection. SHORT ends as if it were whole, but is not. UNREACHED
    means that no connection was made, LOST that there was no answer on it.
    """

    WHOLE = 'whole'
    WRONG = 'wrong'
    SHORT = 'short'
    CUT = 'cut'
    REFUSED = 'refused'
    LOST = 'lost'
    UNREACHED = 'unreached'


class CallRecord(msgspec.Struct, kw_only=True):
    """One call; times are wall time, seconds since the Unix epoch.

    Attributes:
        account: Who called.
        kind: What was called.
        vm: Router that was called.
        started: When the call began.
        ended: When the caller knew the outcome.
        outcome: How it ended.
        key: Idempotency key of an order.
        status: HTTP status, 0 without.
        run: What a refusal says about the run.
        error_kind: Error kind of a refusal or of an error event.
        request_id: Id that the router gave the call.
        answer: Body of an order's answer, or the start of a wrong answer.
        detail: More on the outcome, for the reader.
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
