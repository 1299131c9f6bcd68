"""Status of this router."""

from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.core.ids import DataCentreId
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.operations.router_status import DataCentreReport, RouterStatus


class StatusReporter:
    """Collects the status of this router from its services."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.dependencies = OperatorDependencies(kernel)

    def report(self) -> RouterStatus:
        """Return the status of this router."""
        return RouterStatus(
            vm=self.dependencies.membership.local_member.vm,
            phase=self.kernel.phase,
            revision=self.dependencies.configuration.current.revision,
            admission=self.admission(),
            data_centres=tuple(
                DataCentreReport(
                    data_centre=data_centre,
                    state=self.dependencies.configuration.data_centre_state(
                        data_centre
                    ),
                )
                for data_centre in self.data_centres()
            ),
        )

    def admission(self) -> AdmissionStatus:
        """Return the present status of admission."""
        now = self.kernel.clock.monotonic()
        return self.dependencies.admission.status(now)

    def data_centres(self) -> tuple[DataCentreId, ...]:
        """Return all data centres that have routers or services, sorted."""
        data_centres = {
            member.data_centre
            for member in self.dependencies.membership.members()
        }
        for (
            service
        ) in self.dependencies.configuration.current.services.values():
            data_centres.update(service.data_centres)
        return tuple(sorted(data_centres))
