"""Merging of facts that routers share."""

import random

import pytest

from pollenloom.routing.fact_table import FactTable
from pollenloom.routing.shared_fact import SharedFact

NOW = 100.0


@pytest.fixture
def table() -> FactTable[str]:
    """An empty table."""
    return FactTable(max_age_seconds=10, max_facts=4)


def make_fact(
    fact_id: str, observed_at: float, key: str = 'a'
) -> SharedFact[str]:
    """Return a fact whose content is its id."""
    return SharedFact(fact_id, key, observed_at, fact_id)


def test_newest_fact_wins_in_any_order(table: FactTable[str]) -> None:
    """Guards against routers that end up with different facts."""
    facts = [make_fact(str(age), NOW - age) for age in range(5)]
    random.Random(1).shuffle(facts)
    for fact in facts:
        table.put(fact, NOW)
    assert table.facts['a'].content == '0'


def test_returning_fact_is_not_news(table: FactTable[str]) -> None:
    """Guards against facts that are passed on without end.

    The time on the way makes a fact look newer when it comes back.
    """
    assert table.put(make_fact('x', NOW), NOW)
    assert not table.put(make_fact('x', NOW + 0.01), NOW + 0.2)
    assert not table.changed_since(NOW + 0.1)


def test_table_is_bounded(table: FactTable[str]) -> None:
    """Guards against memory that grows with each subject."""
    for number in range(9):
        table.put(make_fact(str(number), NOW, key=str(number)), NOW)
    assert list(table.facts) == ['5', '6', '7', '8']
    assert table.facts.keys() == table.changed_at.keys()


def test_old_facts_expire(table: FactTable[str]) -> None:
    """Guards against decisions on facts that no longer hold."""
    table.put(make_fact('x', NOW), NOW)
    table.drop_expired(NOW + 11)
    assert not table.facts
    assert not table.put(make_fact('y', NOW), NOW + 11)
