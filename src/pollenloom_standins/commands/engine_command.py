"""`pollenloom-standins engine`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.kernel.kernel import Kernel
from pollenloom_standins.backend.backend_control import BackendControl
from pollenloom_standins.commands.backend_options import BackendOptions
from pollenloom_standins.engine.engine_service import EngineService
from pollenloom_standins.engine.engine_settings import EngineSettings
from pollenloom_standins.serving.http_listener import HttpListener
from pollenloom_standins.serving.listen_address import ListenAddress
from pollenloom_standins.serving.ready_line import ReadyLine
from pollenloom_standins.serving.runner import run_until_terminated


@cappa.command(name='engine')
@dataclass
class EngineCommand(BackendOptions):
    """Stand-in for a model engine.

    Attributes:
        token_ms: Time of one token without other load, in milliseconds.
        prefill_token_ms: Time of one uncached prompt token, in milliseconds.
        cache_blocks: Number of prefixes that the cache can hold.
        cache_event_lag_seconds: Age from which cache events are reported.
        cache_event_loss: Fraction of cache events that are lost.
    """

    token_ms: Annotated[float, cappa.Arg(long=True)] = 10
    prefill_token_ms: Annotated[float, cappa.Arg(long=True)] = 0.2
    cache_blocks: Annotated[int, cappa.Arg(long=True)] = 1024
    cache_event_lag_seconds: Annotated[float, cappa.Arg(long=True)] = 1
    cache_event_loss: Annotated[float, cappa.Arg(long=True)] = 0

    def __call__(self) -> None:
        """Serve until the process is terminated."""
        kernel, listener = self.build()
        run_until_terminated(
            kernel,
            lambda: ReadyLine(ready=listener.address),
        )

    def build(self) -> tuple[Kernel, HttpListener]:
        """Return a kernel with the services of the stand-in."""
        kernel = Kernel()
        service = EngineService(
            kernel.clock,
            self.backend_settings(),
            EngineSettings(
                token_seconds=self.token_ms / MILLISECONDS_PER_SECOND,
                prefill_token_seconds=self.prefill_token_ms
                / MILLISECONDS_PER_SECOND,
                cache_blocks=self.cache_blocks,
                cache_event_lag_seconds=self.cache_event_lag_seconds,
                cache_event_loss=self.cache_event_loss,
            ),
        )
        listener = HttpListener(kernel, ListenAddress.parse(self.listen))
        kernel.register(BackendControl(kernel))
        kernel.register(service)
        kernel.register(listener)
        return kernel, listener
