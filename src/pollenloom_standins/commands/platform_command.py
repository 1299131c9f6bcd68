"""`pollenloom-standins platform`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.kernel.kernel import Kernel
from pollenloom_standins.platform.platform_faults import PlatformFaults
from pollenloom_standins.platform.platform_service import PlatformService
from pollenloom_standins.platform.rate_limit import RateLimit
from pollenloom_standins.platform.record_log import RecordLog
from pollenloom_standins.serving.http_listener import HttpListener
from pollenloom_standins.serving.listen_address import ListenAddress
from pollenloom_standins.serving.ready_line import ReadyLine
from pollenloom_standins.serving.runner import run_until_terminated


@cappa.command(name='platform')
@dataclass
class PlatformCommand:
    """Stand-in for the platform's log and VM list.

    Attributes:
        listen: Address to listen on.
        retention_seconds: How long log records are kept.
        appends_per_second: Rate limit of appends.
        list_lag_seconds: Age of the VM list that it returns.
        seed: Seed of faults given as fractions.
    """

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    retention_seconds: Annotated[float, cappa.Arg(long=True)] = 3600
    appends_per_second: Annotated[float, cappa.Arg(long=True)] = 400
    list_lag_seconds: Annotated[float, cappa.Arg(long=True)] = 0
    seed: Annotated[int, cappa.Arg(long=True)] = 1

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
        service = PlatformService(
            kernel.clock,
            RecordLog(self.retention_seconds),
            RateLimit(self.appends_per_second),
            PlatformFaults(list_lag_seconds=self.list_lag_seconds),
            self.seed,
        )
        listener = HttpListener(kernel, ListenAddress.parse(self.listen))
        kernel.register(service)
        kernel.register(listener)
        return kernel, listener
