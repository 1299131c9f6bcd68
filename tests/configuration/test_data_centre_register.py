"""Tests of the registers with the states of data centres."""

from contextlib import suppress

import pytest

from pollenloom.configuration.data_centre_register import read_register
from pollenloom.membership.register_value import RegisterValue
from tests.fakes.odd_records import ODD_VALUES, encode_record

KEY = 'data_centre/almelo'


@pytest.mark.parametrize('oddity', ODD_VALUES)
def test_odd_register_is_read_or_a_value_error(oddity: str) -> None:
    """Guards against a register of another writer that ends a task.

    The callers catch ValueError.
    """
    payload = encode_record({'state': 'out'}, unknown=ODD_VALUES[oddity])
    register = RegisterValue(1, 'vm-1', payload)
    with suppress(ValueError):
        assert read_register(KEY, register).data_centre == 'almelo'


def test_deep_register_is_rejected() -> None:
    """Guards against the RecursionError of a value that is skipped."""
    payload = encode_record({'state': 'out'}, unknown=ODD_VALUES['deep list'])
    with pytest.raises(ValueError, match='invalid data centre state'):
        read_register(KEY, RegisterValue(1, 'vm-1', payload))
