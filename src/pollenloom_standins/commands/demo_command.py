"""`pollenloom-standins demo`."""

import asyncio
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import aiohttp
import cappa

from pollenloom_standins.demo.demo_plan import demo_plan
from pollenloom_standins.demo.demo_steps import (
    API_KEY,
    CheckFailedError,
    DemoSteps,
)
from pollenloom_standins.fleet.managed_process import ProcessError
from pollenloom_standins.fleet.process_fleet import ProcessFleet


@cappa.command(name='demo')
@dataclass(frozen=True)
class DemoCommand:
    """Start a small fleet, call it, check the responses, stop it.

    Attributes:
        examples: Directory with the example service files.
        keep: Leave the fleet running until Ctrl-C or SIGTERM.
        new_version: Also start engines of this version; they get no requests
            until a version move to it is published.
        output: Directory for settings and logs; a temporary one if not set.
    """

    examples: Annotated[Path, cappa.Arg(long=True)] = Path('examples')
    keep: Annotated[bool, cappa.Arg(long=True)] = False
    new_version: Annotated[str | None, cappa.Arg(long=True)] = None
    output: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Run the demonstration."""
        try:
            asyncio.run(self.run())
        except (CheckFailedError, ProcessError) as error:
            print_line(f'FAILED: {error}')
            raise cappa.Exit(code=1) from None
        except asyncio.CancelledError:
            print_line('interrupted before all answers were checked')
            raise cappa.Exit(code=1) from None

    async def run(self) -> None:
        """Run all steps."""
        cancel_on_signals()
        if self.output is not None:
            self.output.mkdir(parents=True, exist_ok=True)
            await self.run_in(self.output)
            return
        with tempfile.TemporaryDirectory(prefix='pollenloom-') as directory:
            await self.run_in(Path(directory))

    async def run_in(self, directory: Path) -> None:
        """Run all steps with settings and logs in a directory."""
        print_line('starting platform, backend servers and 3 routers')
        plan = demo_plan(self.examples, self.new_version)
        fleet = ProcessFleet(plan, directory)
        async with fleet, aiohttp.ClientSession() as session:
            print_line('configuration published, all routers ready')
            await run_steps(DemoSteps(fleet, session))
            if self.keep:
                print_addresses(fleet)
                await wait_for_signal()
            print_line('stopping all processes gracefully')
        print_line('done: every answer was checked')


async def run_steps(steps: DemoSteps) -> None:
    """Run the steps in order and print the result of each."""
    for title, step in (
        ('streamed model answer', steps.stream_model_response),
        ('idempotent stock read', steps.read_stock),
        ('timber order, sent twice with one key', steps.order_timber_twice),
        ('call with an unknown key', steps.call_with_unknown_key),
        ('data centre taken out', steps.drain_data_centre),
        ('data centre brought back', steps.restore_data_centre),
    ):
        print_line(f'{title}: {await step()}')


def cancel_on_signals() -> None:
    """Cancel the current task on Ctrl-C and SIGTERM.

    Without this the signal would end the process and leave its children
    running.
    """
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)


def print_addresses(fleet: ProcessFleet) -> None:
    """Print how to call and operate the fleet."""
    for plan in fleet.plan.routers:
        ready = fleet.routers[plan.vm].ready['ready']
        print_line(
            f'{plan.vm}: callers http://{ready["callers"]},'
            f' operators {ready["operators"]}',
        )
    address = fleet.callers_url(fleet.plan.routers[0].vm)
    token_file = fleet.operator.token_file
    print_line(f'platform: {fleet.platform_url}')
    print_line(f'settings, logs and token file: {fleet.directory.resolve()}')
    print_line('To call it:')
    print_line(
        f"  curl -H 'Authorization: Bearer {API_KEY}' {address}/v1/models"
    )
    print_line(
        'To operate it (scripts/pollenloom status, publish, drain, ...):'
    )
    print_line(
        f'  export POLLENLOOM_OPERATORS={",".join(fleet.operator_addresses())}'
    )
    print_line(f'  export POLLENLOOM_TOKEN_FILE={token_file.resolve()}')
    print_line(f'  export POLLENLOOM_PLATFORM={fleet.platform_url}')
    print_line('press Ctrl-C to stop')


async def wait_for_signal() -> None:
    """Wait until a signal cancels the task, then undo the cancellation."""
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is not None:
            task.uncancel()


def print_line(line: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
