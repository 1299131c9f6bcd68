"""Records of operators that no sound writer writes."""

from collections.abc import Mapping
from types import MappingProxyType

import pytest

from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.ids import DataCentreId
from tests.catalogue.conftest import SERVICE, CatalogueFleet
from tests.fakes.odd_records import encode_record, odd_records

CONFIGURATION: Mapping[str, object] = MappingProxyType(
    {'version': 1, 'routes': [], 'services': [{'name': SERVICE}]}
)
OUT = DataCentreId('almelo')


@pytest.mark.parametrize('key', ['config', 'rollout/answers'])
async def test_operator_changes_are_followed_past_odd_ones(
    fleet: CatalogueFleet, key: str
) -> None:
    """Guards against one record after which a router obeys no operator."""
    fields = {**CONFIGURATION, 'target': 'v2', 'duration_s': 60}
    await fleet.add(1)
    catalogue = fleet.catalogue(fleet.kernels[0])
    # A listing has only the newest record of a key, changes have all.
    await fleet.wait_for(lambda: StoreTopic.OPERATOR in catalogue.read_topics)
    for payload in odd_records(fields).values():
        await fleet.store.write('keyed.op', key, payload)
    await fleet.store.write('keyed.op', 'evacuate/almelo', b'{}')
    await fleet.wait_for(lambda: OUT in catalogue.directory.evacuated)
    latest = encode_record(fields, version=b'5')
    await fleet.store.write('keyed.op', 'config', latest)
    await fleet.wait_for(
        lambda: (
            catalogue.configuration is not None
            and catalogue.configuration.revision == 5
        )
    )
