"""Merging and exchange of registers."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.membership.register_messages import KeyedRegister
from pollenloom.membership.register_table import (
    MAX_PAYLOAD_BYTES,
    RegisterTable,
    version_of,
)
from pollenloom.membership.register_value import RegisterValue

DELIVERIES = st.lists(
    st.builds(
        lambda key, counter, origin: KeyedRegister(
            key,
            RegisterValue(counter, origin, f'{counter}{origin}'.encode()),
        ),
        st.sampled_from(['configuration', 'vm_list']),
        st.integers(0, 4),
        st.sampled_from(['vm-1', 'vm-2']),
    ),
    max_size=10,
)


def delivered(deliveries: list[KeyedRegister]) -> RegisterTable:
    """Return a table that stored the values in this order."""
    table = RegisterTable()
    for keyed in deliveries:
        table.put(keyed.key, keyed.register)
    return table


@given(deliveries=DELIVERIES, random_source=st.randoms(use_true_random=False))
def test_highest_version_wins_in_any_order(
    deliveries: list[KeyedRegister],
    random_source: Random,
) -> None:
    """Guards against a configuration that returns to a lower revision.

    Values may be delivered twice and in any order.
    """
    shuffled = [*deliveries, *deliveries]
    random_source.shuffle(shuffled)
    table = delivered(deliveries)
    assert table.registers == delivered(shuffled).registers
    assert table.digest == delivered(shuffled).digest
    for keyed in deliveries:
        assert not keyed.register.supersedes(table.registers[keyed.key])


@given(first_deliveries=DELIVERIES, second_deliveries=DELIVERIES)
def test_exchange_of_lacking_versions_makes_tables_equal(
    first_deliveries: list[KeyedRegister],
    second_deliveries: list[KeyedRegister],
) -> None:
    """Guards against an exchange that misses a difference of two routers."""
    first, second = (
        delivered(first_deliveries),
        delivered(second_deliveries),
    )
    for source, target in ((first, second), (second, first)):
        for version in source.newer_than(target.versions()):
            assert target.lacks(version)
            target.put(version.key, source.registers[version.key])
    assert first.registers == second.registers
    assert first.digest == second.digest


def test_batches_fit_into_a_frame() -> None:
    """Guards against values, or batches of them, too large for a frame."""
    table = RegisterTable()
    for number in range(4):
        table.put(str(number), RegisterValue(1, '', bytes(400_000)))
    assert len(table.batch(['0', '1', '2', '3'])) == 2
    assert version_of('0', table.registers['0']) in table.versions()
    with pytest.raises(ValueError, match='too large'):
        table.put('4', RegisterValue(1, '', bytes(MAX_PAYLOAD_BYTES + 1)))
