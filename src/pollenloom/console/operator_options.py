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

from pollenloom.console.command_exit import command_exit
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
            'Check that --token-file names the file that the routers use as '
            'operator_token_file.'
        ),
        ErrorKind.PEER_UNAVAILABLE: (
            'Check the addresses (`operators` in the settings of the routers) '
            'or add another router with a further --operator.'
        ),
        ErrorKind.PROTOCOL_ERROR: (
            'Check that the address is the operators address of a router of '
            'this version, not its callers address.'
        ),
    }
)


@dataclass(kw_only=True)
class OperatorOptions:
    """Options to reach the fleet and to choose the output format."""

    operator: Annotated[
        list[str],
        cappa.Arg(
            long='--operator',
            value_name='ADDRESS',
            help='Operators address (host:port) of a router. Repeat the option '
            'to name more routers; they are tried in order until one responds. '
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
        cappa.Arg(long='--json', help='Print JSON instead of text.'),
    ] = False

    def client(self) -> OperatorClient:
        """Return a client for the addresses and token.

        Raises:
            cappa.Exit: If no router or token is given.
        """
        listed = os.environ.get(OPERATORS_VARIABLE, '').split(',')
        addresses = self.operator or [entry for entry in listed if entry]
        if not addresses:
            raise command_exit(
                'No router is given. Use --operator HOST:PORT or set '
                f'{OPERATORS_VARIABLE}.',
                code=ExitCode.USAGE,
            )
        return OperatorClient(tuple(addresses), self.token())

    def token(self) -> str:
        """Return the operators' token from its file.

        Raises:
            cappa.Exit: If no file is given or it cannot be read.
        """
        path = self.token_file or os.environ.get(TOKEN_VARIABLE)
        if not path:
            raise command_exit(
                'No token file is given. Use --token-file or set '
                f'{TOKEN_VARIABLE}.',
                code=ExitCode.USAGE,
            )
        try:
            return Path(path).read_text(encoding='utf-8').strip()
        except OSError as error:
            raise command_exit(
                f'Cannot read the token file {path}: {error.strerror}.',
                code=ExitCode.INVALID_FILE,
            ) from error

    def wait_for(
        self,
        request: Coroutine[Any, Any, Result[ContentT, Failure]],
    ) -> ContentT:
        """Run a request and return its result.

        Raises:
            cappa.Exit: If the request failed; the message has advice.
        """
        outcome = asyncio.run(request)
        if outcome.is_ok():
            return outcome.ok
        raise failure_exit(outcome.error)

    def show(
        self,
        content: msgspec.Struct | tuple[msgspec.Struct, ...],
        *readable: RenderableType,
    ) -> None:
        """Print `content` as JSON if `--json` is set, otherwise `readable`."""
        console = Console(highlight=False, markup=False, emoji=False)
        if not self.json:
            console.print(*readable, sep='\n')
            return
        encoded = msgspec.json.format(msgspec.json.encode(content))
        console.out(encoded.decode(), highlight=False)


def failure_exit(failure: Failure) -> cappa.Exit:
    """Return the exit of a command whose request failed."""
    unreachable = failure.kind is ErrorKind.PEER_UNAVAILABLE
    advice = ADVICE.get(failure.kind, '')
    reason = 'No router responded: ' if unreachable else ''
    return command_exit(
        f'{reason}{failure.detail}. {advice}'.strip(),
        code=ExitCode.UNREACHABLE if unreachable else ExitCode.REFUSED,
    )
