"""Interface through which admission takes part in version moves."""

from abc import abstractmethod
from typing import ClassVar

from pollenloom.core.ids import ServiceId, VersionId
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.moves.response_report import ResponseReport


class VersionMoves(KernelService):
    """Limits new versions and collects evidence on them."""

    name: ClassVar[KernelServiceName] = KernelServiceName.MOVES

    @abstractmethod
    def share(self, service: ServiceId, version: VersionId) -> float:
        """Share of the requests that a version may get, 0 to 1."""

    @abstractmethod
    def record_response(self, report: ResponseReport) -> None:
        """Count a response as evidence."""
