"""Options shared by the commands for operators."""

import asyncio
import os
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Any, Final, TypeVar

import cappa
import msgspec
from expression import Result
from rich.console import Console, RenderableType

from pollenloom.console.command_end import command_end
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.operator_client import OperatorClient
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure

ContentT = TypeVar('ContentT')

OPERATORS_VARIABLE: Final = 'POLLENLOOM_OPERATORS'
TOKEN_VARIABLE: Final = 'POLLENLOOM_TOKEN_FILE'
ADVICE: Final = MappingProxyType(
    {
        ErrorKind.UNAUTHENTICATED: (
            'Check that --token-file names the file that the routers have as '
            'operator_token_file.'
        ),
        ErrorKind.PEER_UNAVAILABLE: (
            'Check the addresses (`operators` in the settings of the routers) '
            'or add another router with a further --operator.'
        ),
        ErrorKind.PROTOCOL_ERROR: (
            'Check that the address is a router of this version, and its '
            'operators address rather than the one for callers.'
        ),
    }
)


@dataclass(kw_only=True)
class OperatorOptions:
    """How to reach the fleet and how to print."""

    operator: Annotated[
        list[str],
        cappa.Arg(
            long='--operator',
            value_name='ADDRESS',
            help='Operators address (host:port) of a router; repeat it to '
            'name more, the next one is asked if one does not answer. '
            f'Default: {OPERATORS_VARIABLE}, separated by commas.',
        ),
    ] = field(default_factory=list)
    token_file: Annotated[
        Path | None,
        cappa.Arg(
            long='--token-file',
            value_name='FILE',
            help=f'File with the operators token. Default: {TOKEN_VARIABLE}.',
        ),
    ] = None
    json: Annotated[
        bool,
        cappa.Arg(long='--json', help='Print JSON, for programs.'),
    ] = False

    def client(self) -> OperatorClient:
        """Return the client that the options describe."""
        listed = os.environ.get(OPERATORS_VARIABLE, '').split(',')
        addresses = self.operator or [entry for entry in listed if entry]
        if not addresses:
            raise command_end(
                'No router is named. Give --operator HOST:PORT or set '
                f'{OPERATORS_VARIABLE}.',
                code=ExitCode.USAGE,
            )
        return OperatorClient(tuple(addresses), self.token())

    def token(self) -> str:
        """Return the operators' token."""
        path = self.token_file or os.environ.get(TOKEN_VARIABLE)
        if not path:
            raise command_end(
                'No token is given. Name its file with --token-file or set '
                f'{TOKEN_VARIABLE}.',
                code=ExitCode.USAGE,
            )
        try:
            return Path(path).read_text(encoding='utf-8').strip()
        except OSError as error:
            raise command_end(
                f'Cannot read the token file {path}: {error.strerror}.',
                code=ExitCode.INVALID_FILE,
            ) from error

    def wait_for(
        self,
        question: Coroutine[Any, Any, Result[ContentT, Failure]],
    ) -> ContentT:
        """Return the answer; end the command with advice if there is none."""
        outcome = asyncio.run(question)
        if outcome.is_ok():
            return outcome.ok
        raise failed(outcome.error)

    def show(
        self,
        content: msgspec.Struct | tuple[msgspec.Struct, ...],
        *readable: RenderableType,
    ) -> None:
        """Print JSON for programs or the readable form for people."""
        console = Console(highlight=False, markup=False, emoji=False)
        if not self.json:
            console.print(*readable, sep='\n')
            return
        encoded = msgspec.json.format(msgspec.json.encode(content))
        console.out(encoded.decode(), highlight=False)


def failed(failure: Failure) -> cappa.Exit:
    """Return the end of a command that got no useful answer."""
    unreachable = failure.kind is ErrorKind.PEER_UNAVAILABLE
    advice = ADVICE.get(failure.kind, '')
    reason = 'No router answered: ' if unreachable else ''
    return command_end(
        f'{reason}{failure.detail}. {advice}'.strip(),
        code=ExitCode.UNREACHABLE if unreachable else ExitCode.REFUSED,
    )
