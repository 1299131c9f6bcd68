"""Fixtures of the command line tests."""

import pytest

from tests.operations.fleet_fixtures import fleet, operator, routers

__all__ = ('fleet', 'operator', 'routers')


@pytest.fixture(autouse=True)
def clear_fleet_variables(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove variables by which tests would use the developer's fleet."""
    for name in ('PLATFORM', 'OPERATORS', 'TOKEN_FILE'):
        monkeypatch.delenv(f'POLLENLOOM_{name}', raising=False)
