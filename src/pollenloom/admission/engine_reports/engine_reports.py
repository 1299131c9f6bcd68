"""Interface to the reports of backend servers."""

from abc import abstractmethod
from typing import ClassVar

from expression import Result

from pollenloom.admission.engine_reports.cache_event import CacheEventPage
from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.core.failure import Failure
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName


class EngineReports(KernelService):
    """Reads the load reports and cache events of backend servers."""

    name: ClassVar[KernelServiceName] = KernelServiceName.ENGINE_REPORTS

    @abstractmethod
    async def load(self, address: str) -> Result[EngineLoadReport, Failure]:
        """Return the load of a server, as of some time ago."""

    @abstractmethod
    async def cache_events(
        self,
        address: str,
        start: int,
    ) -> Result[CacheEventPage, Failure]:
        """Return the cache events of an engine numbered `start` and above."""
