"""Checks that revoked API keys are refused."""

from collections.abc import Iterator
from http import HTTPStatus

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import (
    IN_FORCE_SECONDS,
    NodeHistory,
)


class RevokedKeyChecker(PromiseChecker[NodeHistory]):
    """A revoked key is refused after two seconds and stays refused.

    Calls at nodes that a fault kept from learning of it are allowed.
    """

    requirement = 'revoked'
    promise = 'a revoked key is refused after two seconds and stays refused'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return calls that were served with a revoked key."""
        revoked = {entry.subject: entry.at for entry in history.revoked}
        for call in history.calls:
            at = revoked.get(call.key)
            if at is None or call.status != HTTPStatus.OK:
                continue
            if call.started > at + IN_FORCE_SECONDS and not history.is_excused(
                call.node, at, call.ended
            ):
                late = call.started - at
                yield f'{call.describe()}: {late:.2f} s after the revocation'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of revoked keys."""
        return len(history.revoked)
