"""Runs the `pollenloom` command as an operator does."""

import asyncio
import sys
from pathlib import Path

from pollenloom_standins.fleet.managed_process import ProcessError


class FleetOperator:
    """Runs `pollenloom` commands.

    Attributes:
        token_file: File with the operators' token.
    """

    def __init__(self, token_file: Path) -> None:
        self.token_file = token_file

    async def publish(self, platform_url: str, *directories: Path) -> str:
        """Publish service files and return what the command printed."""
        return await self.run(
            'publish',
            '--platform',
            platform_url,
            '--publisher',
            'demo',
            *(str(directory) for directory in directories),
        )

    async def operate(
        self,
        addresses: tuple[str, ...],
        command: str,
        *arguments: str,
    ) -> str:
        """Run a command that calls a router and return what it printed."""
        options: list[str] = []
        for address in addresses:
            options.extend(('--operator', address))
        return await self.run(
            command,
            *arguments,
            *options,
            '--token-file',
            str(self.token_file),
        )

    async def run(self, *arguments: str) -> str:
        """Run the command and return what it printed.

        Raises:
            ProcessError: If it exits with another code than 0.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'pollenloom',
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        if process.returncode:
            raise ProcessError(
                f'pollenloom {arguments[0]} exited with code '
                f'{process.returncode}: {output.decode()}',
            )
        return output.decode()
