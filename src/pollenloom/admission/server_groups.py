"""Servers for short prompts, and servers for long ones."""

from collections.abc import Collection, Mapping
from typing import Final

from pollenloom.core.ids import ServerId
from pollenloom.membership.rendezvous_ranking import weight
from pollenloom.routing.prompt_size import PromptSize

# Fewer servers are better used together.
FEWEST_SPLIT: Final = 4
GROUP_KEY: Final = 'prompt-size'


def split_servers(
    servers: Collection[ServerId],
    short_share: float,
) -> Mapping[PromptSize, frozenset[ServerId]]:
    """Return the servers of each size; both have all if they are few.

    A long prompt holds up all that come to its server while it is read, so
    short ones keep away from it. Routers that know the same servers and the
    same share split alike.
    """
    everything = frozenset(servers)
    if len(everything) < FEWEST_SPLIT or not 0 < short_share < 1:
        return dict.fromkeys(PromptSize, everything)
    count = round(len(everything) * short_share)
    count = min(max(count, 1), len(everything) - 1)
    ranked = sorted(everything, key=lambda server: weight(GROUP_KEY, server))
    short = frozenset(ranked[:count])
    return {
        PromptSize.SHORT: short,
        PromptSize.LONG: everything - short,
    }
