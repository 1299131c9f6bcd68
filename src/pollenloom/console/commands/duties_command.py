"""`pollenloom duties`."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Final

import aiohttp
import cappa

from pollenloom.console.command_exit import command_exit
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.output import write_line
from pollenloom.duties.duty import Duty
from pollenloom.duties.status_page import (
    DUTIES_PATH,
    GIVE_UP_ENDING,
    DutyStatusList,
)
from pollenloom.validation.untrusted_bytes import decode_json

TIMEOUT_SECONDS: Final = 5


@cappa.command(
    name='duties',
    help="Show who makes the calls of one router on the users' platform.",
    description='Asks a node at its address for metrics. Nodes have no '
    'server for operators, so `pollenloom status` does not reach them.',
)
@dataclass(kw_only=True)
class DutiesCommand:
    """Shows the duties as a node knows them."""

    node: Annotated[
        str,
        cappa.Arg(
            long='--node',
            value_name='ADDRESS',
            help='Address for metrics of a node, such as 10.1.0.33:7400.',
        ),
    ]
    give_up: Annotated[
        Duty | None,
        cappa.Arg(
            long='--give-up',
            value_name='DUTY',
            help='Make that node give this duty up, so that another router '
            'takes it over.',
        ),
    ] = None

    def __call__(self) -> None:
        """Request the status and print it."""
        method, path = 'GET', DUTIES_PATH
        if self.give_up is not None:
            method = 'POST'
            path = f'{DUTIES_PATH}/{self.give_up.value}{GIVE_UP_ENDING}'
        try:
            status, body = asyncio.run(
                request(method, f'http://{self.node}{path}')
            )
        except (aiohttp.ClientError, OSError) as error:
            raise command_exit(
                f'{self.node} does not respond: {error!r}',
                code=ExitCode.UNREACHABLE,
            ) from error
        decoded = decode_json(body, DutyStatusList)
        if status != HTTPStatus.OK or decoded.is_error():
            raise command_exit(
                f'{self.node} responded with status {status}.',
                code=ExitCode.REFUSED,
            )
        for duty in decoded.ok.duties:
            since = f', for {duty.held_seconds:.0f} s' if duty.is_local else ''
            write_line(
                f'{duty.duty.value}: {duty.holder or "nobody known"}, '
                f'number {duty.number}{since}'
            )


async def request(method: str, url: str) -> tuple[int, bytes]:
    """Make a request; return status and body."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(method, url) as response,
    ):
        return response.status, await response.read()
