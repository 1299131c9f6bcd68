"""Status that one router contributes to the status of the fleet."""

import heapq

import msgspec

from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.core.ids import DataCentreId, Revision, VmId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.kernel_phase import KernelPhase


class DataCentreReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a data centre that one router has in force."""

    data_centre: DataCentreId
    state: DataCentreState


class RouterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one router.

    Attributes:
        vm: VM of the router.
        phase: Phase of its process.
        revision: Revision of the configuration in force.
        admission: Queues, pools and shares that the router knows.
        data_centres: Data centre states in force.
        accounts_left_out: Number of accounts omitted from `admission` so that
            the status fits into a message.
    """

    vm: VmId
    phase: KernelPhase
    revision: Revision
    admission: AdmissionStatus
    data_centres: tuple[DataCentreReport, ...]
    accounts_left_out: int = 0

    def limit_accounts(self, max_accounts: int) -> 'RouterStatus':
        """Return the status with at most `max_accounts` accounts.

        Those with the most waiting requests are kept, then those that were
        served most.
        """
        surplus = len(self.admission.accounts) - max_accounts
        if surplus <= 0:
            return self
        kept = heapq.nlargest(
            max_accounts,
            self.admission.accounts,
            key=lambda account: (account.waiting, account.served),
        )
        admission = msgspec.structs.replace(
            self.admission,
            accounts=tuple(kept),
        )
        return msgspec.structs.replace(
            self,
            admission=admission,
            accounts_left_out=surplus,
        )
