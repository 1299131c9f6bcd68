"""Choice of the admission policy."""

from pollenloom.admission.admission import Admission
from pollenloom.admission.allocator_admission import AllocatorAdmission
from pollenloom.kernel.kernel import Kernel
from pollenloom.settings.router_settings import RouterSettings


def make_admission(kernel: Kernel, settings: RouterSettings) -> Admission:
    """Build the admission service that the settings choose."""
    return AllocatorAdmission.from_config(kernel, settings)
