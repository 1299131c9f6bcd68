"""Assignment of prompt prefixes to backend servers."""

from pollenloom.admission.prefix_ranking import CACHED_RANKS, PrefixRanking
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
    """Guards against routers that send a prefix to different servers."""
    other = PrefixRanking(tuple(reversed(SERVERS)))
    for prefix in range(50):
        assert first(PrefixRanking(SERVERS), prefix) == first(other, prefix)


def test_lost_server_moves_only_its_prefixes() -> None:
    """Guards against prefixes that move when another server is lost."""
    ranking = PrefixRanking(SERVERS)
    for prefix in range(50):
        before = first(ranking, prefix)
        lost = SERVERS[0]
        after = first(ranking, prefix, allowed=SERVERS[1:])
        kept = tuple(server for server in before if server != lost)
        assert after[: len(kept)] == kept


def test_servers_beyond_the_cached_ranks_are_found() -> None:
    """Guards against no server when all cached ranks are excluded."""
    ranking = PrefixRanking(SERVERS)
    ranked = ranking.ranked(7, len(SERVERS))
    excluded = tuple(ranked[: CACHED_RANKS + 3])
    assert first(ranking, 7, excluded=excluded) == tuple(
        ranked[CACHED_RANKS + 3 : CACHED_RANKS + 5],
    )
