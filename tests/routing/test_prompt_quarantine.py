"""Decisions about prompts that crash backend servers."""

import random
from itertools import count

import pytest

from pollenloom.core.ids import (
    AccountId,
    PromptPartId,
    ServerId,
    ServiceId,
    VmId,
)
from pollenloom.routing.crash_evidence import BLOCK_SECONDS
from pollenloom.routing.decaying_count import DecayingCount
from pollenloom.routing.fleet_facts import MAX_CRASHES, FleetFacts
from pollenloom.routing.prompt_facts import PromptCrash
from pollenloom.routing.prompt_quarantine import (
    MATURITY_SECONDS,
    SURVIVAL_SECONDS,
    BegunAnswer,
    PromptQuarantine,
)

SERVICE = ServiceId('answers')
OTHER_SERVICE = ServiceId('other')
ACCOUNT = AccountId('shop')
OTHER_ACCOUNT = AccountId('bakery')
COMMON = 'common'
BAD = 'bad'
TICK_SECONDS = 0.1


class Fleet:
    """One router's quarantine, with a clock that the test advances.

    Attributes:
        now: Monotonic seconds.
        answers: Answers that began lately.
        server_numbers: Numbers of the servers; each crash has its own.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.quarantine = PromptQuarantine(FleetFacts(VmId('vm-1'), 0))
        self.server_numbers = count()
        self.answers = DecayingCount()

    def advance(self, seconds: float) -> None:
        """Let time pass, with regular evaluations."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            count = self.answers.at(self.now)
            self.quarantine.observe_answers(SERVICE, count, self.now)
            self.quarantine.settle(self.now)
            self.quarantine.decide(self.now)

    def answer(self, *parts: str, times: int = 1) -> None:
        """Begin answers to prompts with parts."""
        for _ in range(times):
            self.answers.add(self.now)
            self.quarantine.answer_began(
                BegunAnswer(ServerId('i-up'), SERVICE, ids(parts), self.now)
            )

    def crash(
        self,
        *prompts: tuple[str, ...],
        account: AccountId = ACCOUNT,
        server: str = '',
        started_at: float = 0,
    ) -> None:
        """Crash a server that had not answered some prompts."""
        name = ServerId(server or f'i-{next(self.server_numbers)}')
        for parts in prompts:
            crash = PromptCrash(name, SERVICE, account, ids(parts), started_at)
            self.quarantine.record_crash(crash, self.now)

    def is_blocked(
        self,
        *parts: str,
        account: AccountId = ACCOUNT,
        service: ServiceId = SERVICE,
    ) -> bool:
        """Whether a prompt with parts is refused."""
        found = self.quarantine.find_block(
            service, account, ids(parts), self.now
        )
        return found is not None

    @property
    def block_count(self) -> int:
        """Number of known blocks."""
        return len(self.quarantine.facts.blocks.facts)


def ids(parts: tuple[str, ...]) -> tuple[PromptPartId, ...]:
    """Return the ids of parts."""
    return tuple(PromptPartId(part) for part in parts)


@pytest.fixture
def fleet() -> Fleet:
    """A fleet that has answered common prompts for a while."""
    fleet = Fleet()
    for _ in range(10):
        fleet.answer(COMMON, times=4)
        fleet.advance(0.2)
    return fleet


def crash_repeatedly(
    fleet: Fleet, crashes: int, account: AccountId = ACCOUNT
) -> None:
    """Crash servers under the bad part, beside answers to other prompts."""
    for number in range(crashes):
        fleet.crash((COMMON, BAD), (COMMON, f'rare-{number}'), account=account)
        fleet.answer(COMMON, times=8)
        fleet.advance(0.6)


def test_part_of_five_crashes_is_blocked(fleet: Fleet) -> None:
    """Guards against requests of one kind that crash server after server."""
    crash_repeatedly(fleet, 5)
    assert fleet.is_blocked(COMMON, BAD)
    assert fleet.is_blocked('elsewhere', BAD, 'more')


def test_parts_beside_a_crashing_one_stay_served(fleet: Fleet) -> None:
    """Guards against blame by account, by first part or by company."""
    crash_repeatedly(fleet, 5)
    fleet.advance(MATURITY_SECONDS)
    assert not fleet.is_blocked(COMMON)
    for number in range(5):
        assert not fleet.is_blocked(COMMON, f'rare-{number}')


def test_answered_part_is_not_blocked(fleet: Fleet) -> None:
    """Guards against blaming a popular part that is in every crash."""
    for _ in range(20):
        fleet.crash((COMMON, 'popular'))
        fleet.advance(0.3)
        fleet.answer(COMMON, 'popular')
        fleet.advance(0.3)
    fleet.advance(2)
    assert not fleet.is_blocked(COMMON, 'popular')
    assert not fleet.block_count


def test_block_covers_only_what_crashes_had_in_common(fleet: Fleet) -> None:
    """Guards against blocking a quiet part because it came with a bad one.

    Nothing with the quiet part was answered meanwhile, so it is as suspicious
    as the bad part, but only both together are known to crash servers.
    """
    for _ in range(4):
        fleet.crash((COMMON, 'quiet', BAD))
        fleet.answer(COMMON, times=8)
        fleet.advance(0.6)
    fleet.advance(MATURITY_SECONDS)
    assert fleet.is_blocked(COMMON, 'quiet', BAD)
    assert not fleet.is_blocked(COMMON, 'quiet')
    fleet.answer(COMMON, 'quiet')
    fleet.advance(1)
    assert fleet.is_blocked(BAD)


def test_part_lost_beside_a_crashing_one_is_not_blocked(fleet: Fleet) -> None:
    """Guards against blaming the document that a crashing part belongs to.

    It is in more crashes than the crashing part, and refused requests with it
    could never clear it. Seen on tainted with a share of 0.3.
    """
    for number in range(6):
        fleet.crash(
            (COMMON, 'document', BAD), (COMMON, 'document', f'r-{number}')
        )
        fleet.answer(COMMON, times=12)
        fleet.advance(0.4)
        if number in {0, 2}:
            fleet.crash((COMMON, 'document', f'page-{number}'))
            fleet.advance(0.3)
        assert not fleet.is_blocked(COMMON, 'document')
    fleet.advance(MATURITY_SECONDS)
    assert not fleet.is_blocked(COMMON, 'document')
    assert fleet.is_blocked(COMMON, 'document', BAD)


def test_reports_of_one_crash_are_judged_together(fleet: Fleet) -> None:
    """Guards against a decision between two reports of the same crash.

    The report that lacks the crashing part may arrive first.
    """
    for number in range(6):
        server = f'i-{next(fleet.server_numbers)}'
        fleet.crash((COMMON, 'document', f'page-{number}'), server=server)
        fleet.advance(TICK_SECONDS)
        fleet.crash((COMMON, 'document', BAD), server=server)
        fleet.answer(COMMON, times=12)
        fleet.advance(0.5)
        assert not fleet.is_blocked(COMMON, 'document', 'other')
    fleet.advance(MATURITY_SECONDS)
    assert fleet.is_blocked(COMMON, 'document', BAD)


def test_service_that_crashes_as_a_whole_blames_nothing(fleet: Fleet) -> None:
    """Guards against blame for common parts while nothing is answered.

    Seen on a day on which all servers crashed one after the other within half
    a second: the first part of most prompts was blocked.
    """
    for number in range(12):
        fleet.crash((COMMON, f'rare-{number}'), (COMMON, f'more-{number}'))
        fleet.advance(0.15)
    fleet.advance(5)
    assert not fleet.block_count


def test_explained_crashes_blame_nothing_else(fleet: Fleet) -> None:
    """Guards against blaming requests that a crashing one took with it."""
    for number in range(8):
        fleet.crash((COMMON, BAD))
        if number % 2:
            fleet.crash(
                ('elsewhere', 'quiet'),
                (COMMON, BAD, f'rare-{number}'),
            )
        fleet.answer(COMMON, times=8)
        fleet.advance(0.6)
    fleet.advance(MATURITY_SECONDS)
    assert fleet.is_blocked(COMMON, BAD)
    assert not fleet.is_blocked('elsewhere', 'quiet')


def test_event_before_a_crash_clears_nothing(fleet: Fleet) -> None:
    """Guards against an answer that began, by a server about to crash."""
    for _ in range(5):
        number = fleet.quarantine.answer_began(
            BegunAnswer(
                ServerId('i-up'), SERVICE, ids((COMMON, BAD)), fleet.now
            )
        )
        fleet.advance(SURVIVAL_SECONDS / 2)
        fleet.quarantine.answer_lost(number)
        fleet.crash((COMMON, BAD))
        fleet.answer(COMMON, times=8)
        fleet.advance(0.4)
    fleet.advance(MATURITY_SECONDS)
    assert fleet.is_blocked(COMMON, BAD)


def test_complete_answer_of_a_server_that_crashes_clears_nothing(
    fleet: Fleet,
) -> None:
    """Guards against short answers that end just before the crash."""
    for number in range(5):
        server = ServerId(f'i-short-{number}')
        fleet.quarantine.answer_began(
            BegunAnswer(server, SERVICE, ids((COMMON, BAD)), fleet.now)
        )
        fleet.advance(TICK_SECONDS)
        fleet.crash((COMMON, f'rare-{number}'), (COMMON, BAD), server=server)
        fleet.answer(COMMON, times=8)
        fleet.advance(0.5)
    fleet.advance(MATURITY_SECONDS)
    assert fleet.is_blocked(COMMON, BAD)


def test_servers_that_crash_together_blame_nothing(fleet: Fleet) -> None:
    """Guards against blame for a power failure of many servers."""
    for server in range(12):
        fleet.crash((COMMON, 'session'), (COMMON, f'rare-{server}'))
    fleet.advance(3)
    assert not fleet.block_count


def test_crash_seen_by_many_routers_counts_once(fleet: Fleet) -> None:
    """Guards against one crash that each router's report makes look like more.

    A router that was suspended reports it late.
    """
    for _ in range(8):
        fleet.crash((COMMON, 'session'), server='i-same')
        fleet.advance(0.12)
    fleet.advance(3)
    assert not fleet.block_count


def test_path_that_is_cut_counts_once_for_each_server(fleet: Fleet) -> None:
    """Guards against a cut server that routers lose again and again.

    Requests with the same prompt are sent to the server that has it cached, so
    they are lost there each time; on carromwerk-large one such server was
    taken for crashed seven times in two seconds.
    """
    for number in range(10):
        server = f'i-cut-{number % 2}'
        fleet.crash((COMMON, 'session'), server=server, started_at=50)
        fleet.answer(COMMON, times=8)
        fleet.advance(1.2)
    assert not fleet.block_count


def test_server_that_starts_again_counts_each_time(fleet: Fleet) -> None:
    """Guards against a prompt that crashes the same server again and again."""
    for number in range(5):
        fleet.crash((COMMON, BAD), server='i-same', started_at=50 + number)
        fleet.answer(COMMON, times=8)
        fleet.advance(0.6)
    fleet.advance(MATURITY_SECONDS)
    assert fleet.is_blocked(COMMON, BAD)


@pytest.mark.parametrize('seed', range(20))
def test_random_crashes_blame_nothing(seed: int) -> None:
    """Guards against blame for crashes that no request causes.

    Sixty sessions lose requests in waves of one to six crashes, a wave in two
    seconds.
    """
    fleet = Fleet()
    source = random.Random(seed)
    for _ in range(400):
        sessions = [f'session-{source.randrange(60)}' for _ in range(7)]
        for session in sessions[1:]:
            fleet.answer(COMMON, session)
        if source.randrange(100) < 5:
            for _ in range(source.randint(1, 6)):
                fleet.crash((COMMON, sessions[0]))
        fleet.advance(TICK_SECONDS)
    fleet.advance(2)
    assert not fleet.block_count


def test_lost_crowd_of_requests_needs_more_proof() -> None:
    """Guards against blame while most requests are lost in crashes anyway."""
    fleet = Fleet()
    for number in range(6):
        fleet.answer(COMMON, times=2)
        fleet.crash(
            (COMMON, 'session'),
            *((COMMON, f'rare-{number}-{other}') for other in range(6)),
        )
        fleet.advance(0.3)
    fleet.advance(MATURITY_SECONDS)
    assert not fleet.is_blocked(COMMON, 'session')


def test_account_cannot_block_a_part_for_others(fleet: Fleet) -> None:
    """Guards against an account that sends another one's part on purpose."""
    crash_repeatedly(fleet, 5, OTHER_ACCOUNT)
    assert fleet.is_blocked(COMMON, BAD, account=OTHER_ACCOUNT)
    assert not fleet.is_blocked(COMMON, BAD, account=ACCOUNT)


def test_second_account_with_the_part_widens_the_block(fleet: Fleet) -> None:
    """Guards against a crash for each account that sends the part."""
    crash_repeatedly(fleet, 5)
    fleet.crash((COMMON, BAD), account=OTHER_ACCOUNT)
    fleet.advance(TICK_SECONDS)
    assert fleet.is_blocked(COMMON, BAD, account=AccountId('third'))


def test_other_service_is_not_affected(fleet: Fleet) -> None:
    """Guards against a block for servers that run another model."""
    crash_repeatedly(fleet, 5)
    assert not fleet.is_blocked(COMMON, BAD, service=OTHER_SERVICE)


def test_block_lasts_and_one_crash_renews_it(fleet: Fleet) -> None:
    """Guards against learning anew what is known, and against a block for good.

    After a long time one request is tried, as the servers may be mended.
    """
    crash_repeatedly(fleet, 5)
    fleet.advance(BLOCK_SECONDS - 10)
    assert fleet.is_blocked(COMMON, BAD)
    fleet.advance(12)
    assert not fleet.is_blocked(COMMON, BAD)
    fleet.crash((COMMON, BAD, 'page'))
    fleet.advance(MATURITY_SECONDS + TICK_SECONDS)
    assert fleet.is_blocked(COMMON, BAD, 'other-page')


def test_suspect_is_known_before_it_is_proven(fleet: Fleet) -> None:
    """Guards against retries that crash a second server."""
    fleet.crash((COMMON, BAD))
    fleet.advance(TICK_SECONDS)
    fleet.answer(COMMON)
    fleet.advance(MATURITY_SECONDS + TICK_SECONDS)
    assert fleet.quarantine.is_suspect(SERVICE, ids((COMMON, BAD)))
    assert not fleet.quarantine.is_suspect(SERVICE, ids((COMMON,)))


def test_evidence_is_bounded(fleet: Fleet) -> None:
    """Guards against memory that callers can fill with ids of parts."""
    for number in range(2 * MAX_CRASHES):
        many = tuple(f'p-{number}-{part}' for part in range(100))
        fleet.crash(many)
    facts = fleet.quarantine.facts.crashes.facts
    assert len(facts) == MAX_CRASHES
    assert max(len(fact.content.parts) for fact in facts.values()) < 100


REQUEST = 'request:bad'
OTHER_REQUEST = 'request:common'


def blocked_request(fleet: Fleet, request: str) -> bool:
    """Whether a request is refused."""
    parts = ids((request,))
    found = fleet.quarantine.find_block(SERVICE, ACCOUNT, parts, fleet.now)
    return found is not None


def test_request_in_three_crashes_is_blocked(fleet: Fleet) -> None:
    """Guards against a request that ends server after server.

    Its service is down most of the time, so hardly anything is answered.
    """
    for number in range(3):
        assert not blocked_request(fleet, REQUEST)
        fleet.crash((REQUEST,), (f'request:{number}',))
        fleet.advance(3)
    assert blocked_request(fleet, REQUEST)
    assert not blocked_request(fleet, 'request:0')


def test_answered_request_is_not_blocked(fleet: Fleet) -> None:
    """Guards against a sound request that was in three crashes."""
    for _ in range(3):
        fleet.crash((REQUEST,))
        fleet.advance(2)
        fleet.answer(REQUEST)
        fleet.advance(2)
    assert not blocked_request(fleet, REQUEST)


def test_requests_that_share_all_crashes_are_not_blocked(fleet: Fleet) -> None:
    """Guards against frequent requests blamed for crashes with another cause.

    Which of them it would be is unknown while hardly anything is answered.
    """
    for _ in range(3):
        fleet.crash((REQUEST,), (OTHER_REQUEST,))
        fleet.advance(3)
    assert not blocked_request(fleet, REQUEST)
    assert not blocked_request(fleet, OTHER_REQUEST)


def test_crashes_of_one_moment_block_no_request(fleet: Fleet) -> None:
    """Guards against a request blamed for a power failure."""
    for _ in range(4):
        fleet.crash((REQUEST,))
    fleet.advance(3)
    assert not blocked_request(fleet, REQUEST)


def test_repeats_of_one_request_prove_it_within_a_moment(fleet: Fleet) -> None:
    """Guards against a second wave of crashes by repeats at all servers.

    A router sends the request to the next server when one has ended.
    """
    for _ in range(3):
        fleet.crash((REQUEST,))
        fleet.now += 0.06
    fleet.advance(2)
    assert blocked_request(fleet, REQUEST)


def test_repeated_requests_do_not_hide_a_crashing_part(fleet: Fleet) -> None:
    """Guards against crashes by a part that are put down to single requests.

    Clients send each request twice or three times.
    """
    fleet.answer('sound', times=100)
    fleet.advance(1)
    for number in range(2):
        for _ in range(3 - number):
            fleet.crash((BAD, f'request:{number}'))
            fleet.answer('sound', times=40)
            fleet.advance(2)
    assert fleet.quarantine.find_block(
        SERVICE, ACCOUNT, ids((BAD, 'request:new')), fleet.now
    )
