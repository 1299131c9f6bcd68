"""`pollenloom-standins application`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.kernel.kernel import Kernel
from pollenloom_standins.application.application_service import (
    ApplicationService,
)
from pollenloom_standins.backend.backend_control import BackendControl
from pollenloom_standins.commands.backend_options import BackendOptions
from pollenloom_standins.serving.http_listener import HttpListener
from pollenloom_standins.serving.listen_address import ListenAddress
from pollenloom_standins.serving.ready_line import ReadyLine
from pollenloom_standins.serving.runner import run_until_terminated


@cappa.command(name='application')
@dataclass
class ApplicationCommand(BackendOptions):
    """Stand-in for an application's backend server.

    Attributes:
        service_ms: Time of one call without other load, in milliseconds.
        deduplicates: Respond to a repeated idempotency key without running
            the request again.
    """

    service_ms: Annotated[float, cappa.Arg(long=True)] = 20
    deduplicates: Annotated[bool, cappa.Arg(long=True)] = False

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
        service = ApplicationService(
            kernel.clock,
            self.backend_settings(),
            self.service_ms / MILLISECONDS_PER_SECOND,
            self.deduplicates,
        )
        listener = HttpListener(kernel, ListenAddress.parse(self.listen))
        kernel.register(BackendControl(kernel))
        kernel.register(service)
        kernel.register(listener)
        return kernel, listener
