"""Rules that say which links are cut or delayed."""

from enum import Enum, unique
from typing import Final

import msgspec

ANY_SOURCE: Final = '*'


@unique
class LinkMode(Enum):
    """What happens to the bytes of one direction.

    Attributes:
        PASS: They are delivered.
        DROP: They are lost, as in a partition that outlasts the
            retransmissions of TCP.
        HOLD: They are delivered when the link is restored, as in a partition
            that TCP survives.
    """

    PASS = 'pass'
    DROP = 'drop'
    HOLD = 'hold'


class LinkRule(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Rule for connections from one source.

    Attributes:
        source: IP address of the caller, or `*` for all callers without a
            rule.
        forward: What happens to bytes from the caller to the target.
        backward: What happens to bytes from the target to the caller.
        delay_seconds: One-way delay, in both directions.
    """

    source: str = ANY_SOURCE
    forward: LinkMode = LinkMode.PASS
    backward: LinkMode = LinkMode.PASS
    delay_seconds: float = 0

    @property
    def modes(self) -> frozenset[LinkMode]:
        """The modes of both directions."""
        return frozenset((self.forward, self.backward))


class LinkRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /control/links`, which replaces all rules."""

    links: tuple[LinkRule, ...] = ()

    def rule_for(self, source: str) -> LinkRule:
        """Return the rule for a caller; without one, all bytes pass."""
        for candidate in (source, ANY_SOURCE):
            for rule in self.links:
                if rule.source == candidate:
                    return rule
        return LinkRule()
