"""Store stand-in and settings for tests of `pollenloom node`."""

from contextlib import AsyncExitStack

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.settings.node_settings import (
    BoundSettings,
    ListenSettings,
    MachineSettings,
    NodeSettings,
    StoreSettings,
)
from pollenloom_standins.keyed_store.keyed_store_service import (
    KeyedStoreService,
)
from pollenloom_standins.serving.http_listener import HttpListener
from pollenloom_standins.serving.listen_address import ListenAddress

ANY_PORT = '127.0.0.1:0'


async def open_store(stack: AsyncExitStack) -> tuple[KeyedStoreService, str]:
    """Start a store; return it with its address.

    It stops when the stack is closed.
    """
    store = KeyedStoreService()
    kernel = Kernel()
    kernel.register(store)
    listener = HttpListener(kernel, ListenAddress('127.0.0.1', 0))
    kernel.register(listener)
    await kernel.start()
    stack.push_async_callback(kernel.stop)
    return store, listener.address


def make_settings(
    vm: str,
    data_centre: str = 'enschede',
    store_address: str = ANY_PORT,
    capacity: float = 1,
) -> NodeSettings:
    """Return the settings of a router that listens on free ports."""
    return NodeSettings(
        vm=VmId(vm),
        data_centre=DataCentreId(data_centre),
        listen=ListenSettings(
            callers=ANY_PORT,
            readiness=ANY_PORT,
            metrics=ANY_PORT,
            peers=ANY_PORT,
        ),
        store=StoreSettings(address=store_address),
        bounds=BoundSettings(),
        machine=MachineSettings(processor_share=capacity),
    )
