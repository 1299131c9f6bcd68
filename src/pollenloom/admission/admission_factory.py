"""Creation of the admission service by policy."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from pollenloom.admission.admission import Admission
from pollenloom.admission.allocator_admission import AllocatorAdmission
from pollenloom.admission.counter_exchange_admission import (
    CounterExchangeAdmission,
)
from pollenloom.admission.round_robin_admission import RoundRobinAdmission
from pollenloom.admission.static_division_admission import (
    StaticDivisionAdmission,
)
from pollenloom.kernel.kernel import Kernel
from pollenloom.settings.router_settings import RouterSettings

Policy = type[AllocatorAdmission] | type[RoundRobinAdmission]

POLICIES: Final[Mapping[str, Policy]] = MappingProxyType(
    {
        'allocator': AllocatorAdmission,
        # The same policy with one server in each pool shard.
        'server_owner': AllocatorAdmission,
        'static_division': StaticDivisionAdmission,
        'counter_exchange': CounterExchangeAdmission,
        'round_robin': RoundRobinAdmission,
    }
)


def make_admission(kernel: Kernel, settings: RouterSettings) -> Admission:
    """Create the admission service of the policy in the settings."""
    policy = POLICIES[settings.admission.policy]
    return policy.from_config(kernel, settings)
