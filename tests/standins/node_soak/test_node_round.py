"""Short rounds of the node soak with real processes."""

from pathlib import Path

import pytest

from pollenloom_standins.node_soak.node_round import run_node_round


# Seed 2 has leaving, crashing and cutting servers, a killed node, and a store
# that is slow, held and down. Seed 136 was called broken: callers saw the
# nodes end when the round was over.
@pytest.mark.parametrize('seed', [2, 136])
async def test_promises_hold_under_faults(tmp_path: Path, seed: int) -> None:
    """Guards against promises that hold only while nothing goes wrong."""
    result = await run_node_round(seed, tmp_path)
    assert result.violations == {}
    assert len(result.history.calls) > 200
