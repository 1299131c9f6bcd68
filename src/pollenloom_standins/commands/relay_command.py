"""`pollenloom-standins relay`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.kernel.kernel import Kernel
from pollenloom_standins.relay.relay_control import RelayControl
from pollenloom_standins.relay.relay_service import RelayService
from pollenloom_standins.serving.http_listener import HttpListener
from pollenloom_standins.serving.listen_address import ListenAddress
from pollenloom_standins.serving.ready_line import ReadyLine
from pollenloom_standins.serving.runner import run_until_terminated


@cappa.command(name='relay')
@dataclass
class RelayCommand:
    """TCP forwarder that simulates network partitions.

    Attributes:
        target: Address to forward to.
        listen: Address to listen on.
        control: Address of control calls.
    """

    target: Annotated[str, cappa.Arg(long=True)]
    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    control: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'

    def __call__(self) -> None:
        """Forward until the process is terminated."""
        kernel, relay, listener = self.build()
        run_until_terminated(
            kernel,
            lambda: ReadyLine(ready=relay.address, control=listener.address),
        )

    def build(self) -> tuple[Kernel, RelayService, HttpListener]:
        """Return a kernel with the services of the stand-in."""
        kernel = Kernel()
        relay = RelayService(
            kernel,
            ListenAddress.parse(self.listen),
            ListenAddress.parse(self.target),
        )
        listener = HttpListener(kernel, ListenAddress.parse(self.control))
        kernel.register(relay)
        kernel.register(RelayControl(kernel))
        kernel.register(listener)
        return kernel, relay, listener
