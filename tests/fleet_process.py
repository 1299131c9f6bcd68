"""Runs one router in a separate process, for tests that freeze it."""

import asyncio
import sys
from pathlib import Path

from tests.fleet import make_router


async def run_router(key_file: str, vm: str, *seeds: str) -> None:
    """Run a router until the process is killed."""
    router = make_router(Path(key_file), vm, seeds=seeds)
    await router.kernel.start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(run_router(*sys.argv[1:]))
