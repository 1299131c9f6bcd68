"""Bound of the service gap that the fairness tests assert."""

from collections.abc import Mapping


def gap_bound(
    shares: Mapping[str, float],
    largest_cost: float,
    slots: int,
    staleness_seconds: float,
    owner_changes: int = 0,
) -> float:
    """Largest difference of cost / share between two backlogged accounts.

    With L the largest cost, S the slots of all servers, R the cost that they
    serve in a second, T the staleness of the exchanged counters and p the
    smallest share:

        gap <= (1 + K) * ((S + 2) * L + R * T) / p

    S * L is the cost in flight, whose estimates may all be wrong until the
    requests end. 2 * L is one grant to each of the two compared accounts.
    R * T is the cost that other owners served since their last message. T is
    max(0.25 s, 0.03 s * owners) plus the delay of a message; it does not
    depend on the number of routers, since each router reports to the owner
    directly. Each of K owner changes may discard the gap that existed before
    it, because a successor without its predecessor's counters starts with
    equal virtual times.
    """
    rate = 1000 * slots
    in_flight = (slots + 2) * largest_cost
    gap = (in_flight + rate * staleness_seconds) / min(shares.values())
    return (1 + owner_changes) * gap
