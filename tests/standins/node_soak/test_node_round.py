"""Short rounds of the node soak with real processes."""

from pathlib import Path

import pytest

from pollenloom_standins.node_soak.node_fleet import NodeFleet


# Seed 2 has leaving, crashing and cutting servers, a killed node, and a store
# that is slow, held and down. Seed 136 was called broken: callers saw the
# nodes end when the round was over.
@pytest.mark.parametrize('seed', [2, 136])
async def test_promises_hold_under_faults(tmp_path: Path, seed: int) -> None:
    """Guards against promises that hold only while nothing goes wrong."""
    verdict = await NodeFleet().run(seed, tmp_path)
    assert verdict.violations == {}
    assert verdict.checked['served'] > 200
