"""Runs one router in a separate process, for tests that freeze it."""

import asyncio
import sys
from pathlib import Path

from tests.fleet import make_node


async def run_router(key_file: str, vm: str, *seeds: str) -> None:
    """Run a router until the process is killed."""
    node = make_node(Path(key_file), vm, seeds=seeds)
    await node.kernel.start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(run_router(*sys.argv[1:]))
