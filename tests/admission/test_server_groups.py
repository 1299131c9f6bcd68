"""Servers for short and for long prompts."""

from pollenloom.admission.server_groups import FEWEST_SPLIT, split_servers
from pollenloom.core.ids import ServerId
from pollenloom.routing.prompt_size import PromptSize

SERVERS = tuple(ServerId(f'i-{number}') for number in range(20))


def test_groups_follow_the_share() -> None:
    """Guards against a group that has too little for its load."""
    groups = split_servers(SERVERS, 0.3)
    assert len(groups[PromptSize.SHORT]) == 6
    assert groups[PromptSize.LONG] == (
        frozenset(SERVERS) - groups[PromptSize.SHORT]
    )


def test_no_group_is_empty() -> None:
    """Guards against a size that no server is for."""
    for share in (0.001, 0.999):
        assert all(split_servers(SERVERS, share).values())


def test_few_servers_serve_all() -> None:
    """Guards against halves of a service that is small already."""
    few = SERVERS[: FEWEST_SPLIT - 1]
    assert set(split_servers(few, 0.5).values()) == {frozenset(few)}
    assert set(split_servers(SERVERS, 0).values()) == {frozenset(SERVERS)}


def test_small_change_of_the_share_moves_few_servers() -> None:
    """Guards against prefixes that are lost with each change of the mix."""
    before = split_servers(SERVERS, 0.3)[PromptSize.SHORT]
    after = split_servers(SERVERS, 0.4)[PromptSize.SHORT]
    assert before < after
