"""Parsing and formatting of addresses."""

import pytest

from pollenloom.core.host_port import join_address, split_address


def test_address_is_split_and_joined() -> None:
    """Guards against an address that changes when it is split and joined."""
    assert split_address('10.0.0.1:80') == ('10.0.0.1', 80)
    assert join_address(('10.0.0.1', 80)) == '10.0.0.1:80'


@pytest.mark.parametrize('text', ['', '10.0.0.1', '10.0.0.1:', 'a:b'])
def test_text_without_a_port_is_rejected(text: str) -> None:
    """Guards against an address that fails only when it is used."""
    with pytest.raises(ValueError, match='invalid literal'):
        split_address(text)
