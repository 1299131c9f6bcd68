"""Fixtures of the tests of admission."""

import pytest

from tests.admission.fake_fleet import FakeFleet


@pytest.fixture
def fleet() -> FakeFleet:
    """A fleet without routers and servers."""
    return FakeFleet()
