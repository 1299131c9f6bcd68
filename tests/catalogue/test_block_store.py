"""Tests of blocked prompts that are read from the store."""

import pytest

from pollenloom.catalogue.block_store import BlockStore
from pollenloom.catalogue.fact_exchange import FactExchange
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from tests.catalogue.conftest import CatalogueFleet
from tests.fakes.odd_records import encode_record, odd_records

BLOCK = {'service': 'answers', 'parts': ['p'], 'accounts': [], 'crashes': 5}


def make_record(kernel: Kernel, **raw: bytes) -> bytes:
    """Return the record of a block that has just been decided."""
    now = kernel.clock.wall()
    fields = {'block': BLOCK, 'fact_id': 'vm-9/1/1', 'decided_at': now}
    return encode_record(fields, **raw)


@pytest.fixture
async def kernel(fleet: CatalogueFleet) -> Kernel:
    """A router of a fleet, without a block store yet."""
    await fleet.add(1)
    return fleet.kernels[0]


async def read_blocks(kernel: Kernel) -> None:
    """Start a block store and wait until it has read all blocks."""
    block_store = BlockStore(kernel)
    await block_store.start()
    reading = next(
        task for task in kernel.tasks if task.get_name() == 'blocks-read'
    )
    await reading


def known_blocks(kernel: Kernel) -> int:
    """Return the number of blocks that the router knows."""
    facts = kernel.find(KernelServiceName.FACT_EXCHANGE, FactExchange).facts
    return len(facts.blocks.facts)


async def test_blocks_are_read_past_odd_records(
    fleet: CatalogueFleet, kernel: Kernel
) -> None:
    """Guards against one record that keeps a router from all blocks."""
    fields = {'block': BLOCK, 'fact_id': 'vm-8/1/1', 'decided_at': -1.0}
    odd = tuple(odd_records(fields).values())
    odd += tuple(
        make_record(kernel, block=block)
        for block in odd_records(BLOCK).values()
    )
    for number, payload in enumerate(odd):
        await fleet.store.write('keyed.blocks', f'odd-{number}', payload)
    sound = make_record(kernel, block=encode_record(BLOCK, service=b'"last"'))
    await fleet.store.write('keyed.blocks', 'sound', sound)
    await read_blocks(kernel)
    facts = kernel.find(KernelServiceName.FACT_EXCHANGE, FactExchange).facts
    services = {fact.content.service for fact in facts.blocks.facts.values()}
    assert 'last' in services


@pytest.mark.parametrize('value', [b'1e308', b'-1e308', b'4e9'])
async def test_block_of_an_odd_time_is_not_used(
    fleet: CatalogueFleet, kernel: Kernel, value: bytes
) -> None:
    """Guards against a block from the future, which would stay for long."""
    record = make_record(kernel, decided_at=value)
    await fleet.store.write('keyed.blocks', 'odd', record)
    await read_blocks(kernel)
    assert not known_blocks(kernel)
