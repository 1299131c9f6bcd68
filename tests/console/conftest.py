"""Fixtures of this package, shared with other packages."""

import pytest

from tests.operations.fleet_fixtures import fleet, operator, routers

__all__ = ('fleet', 'operator', 'routers')


@pytest.fixture(autouse=True)
def no_fleet_in_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep tests from a fleet that the developer's shell names."""
    for name in ('PLATFORM', 'OPERATORS', 'TOKEN_FILE'):
        monkeypatch.delenv(f'POLLENLOOM_{name}', raising=False)
