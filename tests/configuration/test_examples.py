"""Tests that the examples are valid and have the sizes of the design page."""

from pathlib import Path

import pytest

from pollenloom.configuration.file_collector import collect_files
from pollenloom.configuration.file_loader import load_services
from pollenloom.core.states import Resource
from pollenloom.settings.settings_loader import load_settings
from tests.configuration.service_texts import NOW, hash_key

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'


@pytest.mark.parametrize('name', ['carromwerk', 'xelaju'])
def test_example(name: str) -> None:
    """Guards against examples that cannot be published as they are."""
    collected = collect_files([EXAMPLES / name])
    loaded = load_services(collected.files, NOW)
    assert (collected.problems, loaded.problems) == ((), ())
    resources = [each.resource for each in loaded.services.values()]
    assert resources.count(Resource.MODEL) == 2
    assert resources.count(Resource.APPLICATION) == 1
    for service in loaded.services.values():
        assert len(service.accounts) == 16
        for account in service.accounts:
            assert account.key_hashes == (hash_key(f'demo-key-{account.name}'),)
    settings = load_settings(EXAMPLES / name / 'router.toml')
    assert settings.problems == ()
    data_centres = {
        data_centre
        for file in loaded.services.values()
        for data_centre in file.data_centres
    }
    assert settings.model is not None
    assert settings.model.data_centre in data_centres
