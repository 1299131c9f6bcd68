"""Interface of the registers that are replicated to all routers."""

from abc import abstractmethod
from collections.abc import Callable
from typing import ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.register_value import RegisterValue


class Registers(KernelService):
    """Small values, replicated to all routers; the highest version wins."""

    name: ClassVar[KernelServiceName] = KernelServiceName.REGISTERS

    @abstractmethod
    def get(self, key: str) -> RegisterValue | None:
        """Return the value of `key`, or None if no value is known."""

    @abstractmethod
    def keys(self, prefix: str) -> tuple[str, ...]:
        """Known keys that start with `prefix`, sorted."""

    @abstractmethod
    def put(self, key: str, register: RegisterValue) -> bool:
        """Set a value and replicate it; return whether it was newer."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        listener: Callable[[str, RegisterValue], None],
    ) -> None:
        """Call `listener(key, value)` for newer values of keys with `prefix`.

        The listener is called at once for values that are already known.
        """
