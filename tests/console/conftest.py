"""Fixtures of the console's tests."""

from pathlib import Path

import pytest

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.settings.router_settings import (
    LimitSettings,
    PeerSettings,
    PlatformSettings,
    RouterSettings,
)


@pytest.fixture
def token_file(tmp_path: Path) -> Path:
    path = tmp_path / 'operator-token'
    path.write_text('let-me-in\n', encoding='utf-8')
    return path


@pytest.fixture
def settings(tmp_path: Path, token_file: Path) -> RouterSettings:
    key_file = tmp_path / 'fleet-key'
    key_file.write_text('k' * 32, encoding='utf-8')
    return RouterSettings(
        vm=VmId('vm-1'),
        data_centre=DataCentreId('hengelo'),
        callers='127.0.0.1:0',
        operators='127.0.0.1:0',
        operator_token_file=token_file,
        platform=PlatformSettings(url='http://127.0.0.1:9'),
        peers=PeerSettings(listen='127.0.0.1:0', fleet_key_file=key_file),
        limits=LimitSettings(shutdown_seconds=5),
    )
