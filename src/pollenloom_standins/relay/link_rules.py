"""Which links the relay cuts."""

from enum import Enum, unique
from typing import Final

import msgspec

ANY_SOURCE: Final = '*'


@unique
class LinkMode(Enum):
    """What happens to bytes of one direction.

    DROP loses them, as a partition that outlasts TCP's retransmissions. HOLD
    delivers them when the link is back, as one that TCP survives.
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
    """Rule for the connections of one source.

    Attributes:
        source: IP number of the caller, or `*` for all without a rule.
        forward: Bytes from the caller to the target.
        backward: Bytes from the target to the caller.
        delay_seconds: One-way delay, in both directions.
    """

    source: str = ANY_SOURCE
    forward: LinkMode = LinkMode.PASS
    backward: LinkMode = LinkMode.PASS
    delay_seconds: float = 0

    @property
    def modes(self) -> frozenset[LinkMode]:
        """Modes of both directions."""
        return frozenset((self.forward, self.backward))


class LinkRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /control/links`; replaces all rules."""

    links: tuple[LinkRule, ...] = ()

    def rule_for(self, source: str) -> LinkRule:
        """Return the rule for a caller."""
        for wanted in (source, ANY_SOURCE):
            for rule in self.links:
                if rule.source == wanted:
                    return rule
        return LinkRule()
