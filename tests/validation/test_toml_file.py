"""Tests of TOML files that cannot be read."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.settings.router_settings import RouterSettings
from pollenloom.validation.toml_file import check_text

ODD_TEXTS = (
    'a=' + '[' * 5000 + ']' * 5000,
    'a=' + '{b=' * 5000 + '1' + '}' * 5000,
    'a=' + '9' * 400,
    'a=' + '9' * 5000,
    'a=0x' + 'f' * 5000,
    'a=-' + '9' * 5000,
    'a=1e999',
    'a=nan',
    'a' + '.a' * 5000 + '=1',
    '[' + 'a.' * 5000 + 'a]',
    'callers=' + '9' * 5000,
)


@pytest.mark.parametrize('text', ODD_TEXTS)
def test_odd_file_has_problems(text: str) -> None:
    """Guards against a file that ends the task that reads it again."""
    checked = check_text(RouterSettings, 'router.toml', text)
    assert checked.model is None
    assert checked.problems


@given(
    st.one_of(
        st.text(max_size=100),
        st.sampled_from(ODD_TEXTS).flatmap(
            lambda text: st.integers(0, len(text)).map(lambda end: text[:end])
        ),
    )
)
def test_any_text_is_a_file_with_problems(text: str) -> None:
    """Guards against errors of the parser that are not syntax errors."""
    assert check_text(RouterSettings, 'router.toml', text).problems
