"""Facts shared between routers, over real sockets."""

from pollenloom.catalogue.fact_exchange import FactExchange
from pollenloom.catalogue.load_exchange import LARGEST_DIRECT_FLEET
from pollenloom.core.ids import AccountId, PromptPartId, ServerId, ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.prompt_facts import PromptCrash
from tests.catalogue.conftest import CatalogueFleet

# Evidence of the fifth crash must meet long before three seconds have passed.
SPREAD_SECONDS = 2.0
LARGE_FLEET = LARGEST_DIRECT_FLEET + 5


def find_exchange(kernel: Kernel) -> FactExchange:
    """Return the fact exchange of a router."""
    return kernel.find(KernelServiceName.FACT_EXCHANGE, FactExchange)


def observe_crash(kernel: Kernel, part: str) -> None:
    """Let a router observe a crash."""
    facts = find_exchange(kernel).facts
    now = kernel.clock.monotonic()
    crash = PromptCrash(
        ServerId('i-1'),
        ServiceId('answers'),
        AccountId('shop'),
        (PromptPartId(part),),
    )
    facts.crashes.put(facts.make_fact('', crash, now), now)


def known_parts(kernel: Kernel) -> set[str]:
    """Return the parts in crashes that a router knows."""
    crashes = find_exchange(kernel).facts.crashes
    return {
        part for fact in crashes.facts.values() for part in fact.content.parts
    }


async def wait_until_all_know(fleet: CatalogueFleet, parts: set[str]) -> None:
    """Wait until each router knows crashes with these parts."""
    await fleet.wait_for(
        lambda: all(known_parts(kernel) == parts for kernel in fleet.kernels),
        SPREAD_SECONDS,
    )


async def test_evidence_of_all_routers_meets(fleet: CatalogueFleet) -> None:
    """Guards against evidence that is spread over routers of a small fleet."""
    await fleet.add(4)
    for number, kernel in enumerate(fleet.kernels):
        observe_crash(kernel, f'p-{number}')
    await wait_until_all_know(fleet, {'p-0', 'p-1', 'p-2', 'p-3'})


async def test_evidence_meets_in_a_large_fleet(fleet: CatalogueFleet) -> None:
    """Guards against evidence that collectors do not pass on."""
    await fleet.add(LARGE_FLEET)
    await fleet.wait_until_all_observe(LARGE_FLEET - 1)
    observe_crash(fleet.kernels[-1], 'last')
    observe_crash(fleet.kernels[-2], 'other-data-centre')
    await wait_until_all_know(fleet, {'last', 'other-data-centre'})


async def test_evidence_survives_the_router_that_observed_it(
    fleet: CatalogueFleet,
) -> None:
    """Guards against learning anew what a failed router had observed."""
    await fleet.add(4)
    observe_crash(fleet.kernels[0], 'seen')
    await wait_until_all_know(fleet, {'seen'})
    await fleet.stop_first()
    await fleet.add(1)
    await wait_until_all_know(fleet, {'seen'})


async def test_facts_of_strangers_are_ignored(fleet: CatalogueFleet) -> None:
    """Guards against blame by a sender that is no router of the fleet."""
    await fleet.add(2)
    stranger, known = fleet.kernels
    observe_crash(stranger, 'made-up')
    fleet.fleet_routers.pop(0)
    assert known_parts(known) == set()
    message = find_exchange(stranger).changed_facts(stranger.clock.monotonic())
    fleet.exchange(known).handle_relayed(message, ('127.0.0.1', 9))
    assert known_parts(known) == set()


async def test_old_evidence_is_sent_rarely(fleet: CatalogueFleet) -> None:
    """Guards against evidence of past crashes that fills the links.

    It was sent each second for ten minutes: 80 KB/s from each router.
    """
    await fleet.add(2)
    observe_crash(fleet.kernels[0], 'old')
    exchange = find_exchange(fleet.kernels[0])
    now = fleet.kernels[0].clock.monotonic() + 60
    messages = [exchange.next_message(now + tick / 10) for tick in range(100)]
    assert sum(bool(message.crashes) for message in messages) <= 3
