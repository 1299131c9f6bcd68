"""HTTP session whose idle connections are given up after a time-out."""

from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp


@dataclass(slots=True)
class SessionUse:
    """A session and the number of its running calls."""

    session: aiohttp.ClientSession
    running_calls: int = 0


class RenewableSession:
    """Makes calls on kept connections, and on new ones after a time-out.

    Open connections can go silent together while new ones work, for example
    when a firewall or balancer loses its state. Each idle connection would
    then cost one more time-out. After the first one, later calls therefore get
    a new session; the old one is closed when its last call ends.

    Attributes:
        open_session: Opens a session; it is called at the first call and
            after each renewal.
        current: The session for new calls; None until there is one.
    """

    def __init__(
        self, open_session: Callable[[], aiohttp.ClientSession]
    ) -> None:
        self.open_session = open_session
        self.current: SessionUse | None = None

    @asynccontextmanager
    async def request(
        self, method: str, url: Any, **options: Any
    ) -> AsyncGenerator[aiohttp.ClientResponse, None]:
        """Make a call; the arguments are those of `ClientSession.request`.

        Raises:
            aiohttp.ClientError: If the call failed.
            TimeoutError: If it took too long.
        """
        if self.current is None:
            self.current = SessionUse(self.open_session())
        use = self.current
        use.running_calls += 1
        try:
            async with use.session.request(method, url, **options) as response:
                yield response
        except aiohttp.ConnectionTimeoutError:
            # A new connection was tried, so there was no idle one.
            raise
        except TimeoutError:
            self.renew(use)
            raise
        finally:
            use.running_calls -= 1
            await self.close_replaced(use)

    def renew(self, use: SessionUse) -> None:
        """Let later calls open new connections."""
        if self.current is use:
            self.current = None

    async def close_replaced(self, use: SessionUse) -> None:
        """Close a session that was replaced and has no running calls."""
        if use is not self.current and not use.running_calls:
            await use.session.close()

    async def close(self) -> None:
        """Close the session and its connections."""
        use = self.current
        self.current = None
        if use is not None:
            await use.session.close()
