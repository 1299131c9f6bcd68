"""Interface of the service that moves traffic between versions."""

from abc import abstractmethod
from typing import ClassVar

from pollenloom.core.ids import ServiceId, VersionId
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.moves.move_record import MoveRecord
from pollenloom.moves.response_report import ResponseReport


class MoveService(KernelService):
    """Limits new versions, collects evidence and reports on moves."""

    name: ClassVar[KernelServiceName] = KernelServiceName.MOVES

    @abstractmethod
    def share(self, service: ServiceId, version: VersionId) -> float:
        """Share of the grants that a version may get, 0 to 1."""

    @abstractmethod
    def record_response(self, report: ResponseReport) -> None:
        """Count a response as evidence; called by pool owners."""

    @abstractmethod
    def records(self) -> tuple[MoveRecord, ...]:
        """Records of all known moves, the latest change last."""
