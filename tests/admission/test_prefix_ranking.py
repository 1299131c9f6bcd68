"""Servers that a prompt prefix belongs to."""

from pollenloom.admission.prefix_ranking import RANKS, PrefixRanking
from pollenloom.core.ids import ServerId

SERVERS = tuple(ServerId(f'i-{number}') for number in range(20))


def first(
    ranking: PrefixRanking,
    prefix: int,
    allowed: tuple[ServerId, ...] = SERVERS,
    excluded: tuple[ServerId, ...] = (),
) -> tuple[ServerId, ...]:
    """Return the first two servers of a prefix."""
    return ranking.first(prefix, 2, allowed, excluded)


def test_routers_rank_alike() -> None:
    """Guards against routers that send one prefix to different servers."""
    other = PrefixRanking(tuple(reversed(SERVERS)))
    for prefix in range(50):
        assert first(PrefixRanking(SERVERS), prefix) == first(other, prefix)


def test_lost_server_moves_its_own_prefixes_only() -> None:
    """Guards against caches that are all lost with one server."""
    ranking = PrefixRanking(SERVERS)
    for prefix in range(50):
        before = first(ranking, prefix)
        lost = SERVERS[0]
        after = first(ranking, prefix, allowed=SERVERS[1:])
        kept = tuple(server for server in before if server != lost)
        assert after[: len(kept)] == kept


def test_servers_far_back_in_the_rank_are_found() -> None:
    """Guards against a prefix without servers when its first ones are out."""
    ranking = PrefixRanking(SERVERS)
    ranked = ranking.ranked(7, len(SERVERS))
    out = tuple(ranked[: RANKS + 3])
    assert first(ranking, 7, excluded=out) == tuple(
        ranked[RANKS + 3 : RANKS + 5],
    )
