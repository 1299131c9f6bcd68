"""Max-min fair share of the capacity that client accounts ask for."""

from collections.abc import Mapping

from pollenloom.core.ids import AccountId

Costs = Mapping[AccountId, float]


def fair_level(usage: Costs, refused: Costs, capacity: float) -> float | None:
    """Return the demand up to which an account stays within its share.

    The level divides the capacity among the accounts: one that asks for less
    than the level gets what it asks for, and all others the same.

    Args:
        usage: Recent cost that was sent, by account.
        refused: Recent cost that was refused, by account.
        capacity: Cost that can be served in the same time.

    Returns:
        The level, in the unit of the costs; None if nothing was refused or
        the capacity is enough for all, so that no account takes capacity from
        another.
    """
    if not refused:
        return None
    demands = sorted(
        usage.get(account, 0) + refused.get(account, 0)
        for account in usage.keys() | refused.keys()
    )
    remaining = capacity
    for index, demand in enumerate(demands):
        level = remaining / (len(demands) - index)
        if demand > level:
            return level
        remaining -= demand
    return None
