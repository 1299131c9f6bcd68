"""Baseline: each router has a fixed share of each server."""

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.allocator_admission import AllocatorAdmission
from pollenloom.admission.divided_scope import DividedScope


class StaticDivisionAdmission(AllocatorAdmission):
    """Each router allocates slots / routers of each server, at least one.

    Routers do not communicate, so an account that floods one router leaves
    the shares of the other routers idle.
    """

    # Load reports count the requests of all routers, but a limit here covers
    # those of one router.
    reads_reports = False

    def make_scope(self) -> AdmissionScope:
        """Create a scope that owns all pools, with a share of the slots."""
        scope = DividedScope.from_kernel(self.kernel, self.shard_servers)
        scope.division = self.settings.admission.routers
        return scope
