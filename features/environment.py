"""Starts a separate fleet for each scenario."""

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from behave.model import Scenario
from behave.runner import Context

from pollenloom_standins.soak.soak_round import open_round_environment

ROOT = Path(__file__).resolve().parents[1]
# With this seed the random plan has a fleet of 4 routers.
SEED = 8


def before_scenario(context: Context, _scenario: Scenario) -> None:
    """Start the fleet on the event loop that all steps of the scenario use."""
    context.runner = asyncio.Runner()
    context.stack = AsyncExitStack()
    context.directory = tempfile.TemporaryDirectory(prefix='pollenloom-')
    context.environment = context.runner.run(
        context.stack.enter_async_context(
            open_round_environment(
                Path(context.directory.name),
                SEED,
                ROOT / 'examples',
            ),
        ),
    )


def after_scenario(context: Context, _scenario: Scenario) -> None:
    """Stop the fleet and remove its files."""
    context.runner.run(context.stack.aclose())
    context.runner.close()
    context.directory.cleanup()
