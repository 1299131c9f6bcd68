"""Max-min fair share of the capacity that client accounts used lately."""

from collections.abc import Mapping

from pollenloom.core.ids import AccountId

Costs = Mapping[AccountId, float]


def fair_level(usage: Costs, refused: Costs) -> float | None:
    """Return the usage up to which an account stays within its share.

    The level divides the total usage among the accounts: one that asked for
    less than the level has what it asked for, and all others the same.

    Args:
        usage: Recent cost that was served, by account.
        refused: Recent cost that was refused, by account.

    Returns:
        The level, in the unit of the costs; None if nothing was refused, so
        that no account takes capacity from another.
    """
    if not refused:
        return None
    demands = sorted(
        usage.get(account, 0) + refused.get(account, 0)
        for account in usage.keys() | refused.keys()
    )
    remaining = sum(usage.values())
    for index, demand in enumerate(demands):
        level = remaining / (len(demands) - index)
        if demand > level:
            return level
        remaining -= demand
    return None
