"""What one router contributes to the status of the fleet."""

import heapq

import msgspec

from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.core.ids import DataCentreId, Revision, VmId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.kernel_phase import KernelPhase


class DataCentreReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a data centre as one router has it."""

    data_centre: DataCentreId
    state: DataCentreState


class RouterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one router.

    Attributes:
        vm: The router.
        phase: Phase of its process.
        revision: Revision of the configuration that it has in force.
        admission: Queues, pools and shares that it knows.
        data_centres: States that it has in force.
        accounts_left_out: Accounts cut from `admission` to fit a message.
    """

    vm: VmId
    phase: KernelPhase
    revision: Revision
    admission: AdmissionStatus
    data_centres: tuple[DataCentreReport, ...]
    accounts_left_out: int = 0

    def fit(self, accounts: int) -> 'RouterStatus':
        """Return the status with at most so many accounts.

        Those with the most waiting requests stay, then the largest ones.
        """
        surplus = len(self.admission.accounts) - accounts
        if surplus <= 0:
            return self
        kept = heapq.nlargest(
            accounts,
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
