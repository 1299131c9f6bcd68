"""Decisions of the order index on who may dispatch an order."""

import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import AccountId, ClaimId, Offset, ServiceId, VmId
from pollenloom.orders.claim_verdict import ClaimVerdict
from pollenloom.orders.order_entries import (
    OrderBatch,
    OrderClaim,
    OrderOutcome,
    OrderRelease,
)
from pollenloom.orders.order_index import OrderIndex
from pollenloom.orders.order_key import OrderKey, canonical_key, key_time

NOW = 1_700_000_000.0


def make_key(created_at: float = NOW) -> OrderKey:
    milliseconds = int(created_at * 1000)
    value = (milliseconds << 80) | (7 << 76) | (2 << 62) | 1
    return OrderKey(
        ServiceId('timber'),
        AccountId('desk'),
        str(uuid.UUID(int=value)),
    )


def make_claim(name: str, key: OrderKey, body: str = 'walnut') -> OrderClaim:
    return OrderClaim(
        key=key,
        claim=ClaimId(name),
        fingerprint=body,
        vm=VmId(f'vm-{name}'),
        validity_seconds=60,
    )


def decide(
    index: OrderIndex, claim: OrderClaim, **kwargs: float
) -> ClaimVerdict:
    return index.decide(
        claim,
        kwargs.get('now', NOW),
        kwargs.get('horizon', 0),
        lambda vm: True,
    ).verdict


@pytest.fixture
def index() -> OrderIndex:
    return OrderIndex()


@pytest.fixture
def key() -> OrderKey:
    return make_key()


CLAIM_NAMES = ('a', 'b', 'c')
LOG_STEP = st.tuples(
    st.sampled_from(('claim', 'outcome', 'release')),
    st.sampled_from(CLAIM_NAMES),
)


@given(st.lists(LOG_STEP, max_size=20))
def test_key_is_held_by_one_claim_that_did_not_release(
    steps: list[tuple[str, str]],
) -> None:
    """Guards against two routers that both dispatch one order.

    A router releases only what it has not dispatched, so a claim that was
    granted and not released may have been dispatched.
    """
    index = OrderIndex()
    key = make_key()
    granted: set[str] = set()
    for number, (kind, name) in enumerate(steps):
        claim = make_claim(name, key)
        if kind == 'release' and name not in granted:
            batch = OrderBatch(releases=(OrderRelease(key, claim.claim),))
        elif kind == 'outcome':
            outcome = OrderOutcome(key, claim.claim, known=True, status=201)
            batch = OrderBatch(outcomes=(outcome,))
        else:
            batch = OrderBatch(claims=(claim,))
        index.apply(Offset(number), NOW, batch)
        granted.update(
            candidate
            for candidate in CLAIM_NAMES
            if decide(index, make_claim(candidate, key)) is ClaimVerdict.GRANTED
        )
        assert len(granted) <= 1


def test_claim_that_arrives_after_its_release_does_not_hold(
    index: OrderIndex,
    key: OrderKey,
) -> None:
    """Guards against a late claim that blocks its key forever.

    With a slow platform, a claim may reach the log after its release.
    """
    late = make_claim('late', key)
    index.apply(
        Offset(0),
        NOW,
        OrderBatch(releases=(OrderRelease(key, late.claim),)),
    )
    index.apply(Offset(1), NOW, OrderBatch(claims=(late,)))
    other = make_claim('other', key)
    assert decide(index, other) is ClaimVerdict.UNCLAIMED
    index.apply(Offset(2), NOW, OrderBatch(claims=(other,)))
    assert decide(index, other) is ClaimVerdict.GRANTED


def test_repeat_gets_the_outcome_or_unknown(
    index: OrderIndex,
    key: OrderKey,
) -> None:
    """Guards against a second run after the first router was lost.

    A repeat is in progress while the claim is valid and its router live,
    then unknown until the outcome is recorded. The same key with another
    body is rejected as reused.
    """
    index.apply(Offset(0), NOW, OrderBatch(claims=(make_claim('a', key),)))
    repeat = make_claim('b', key)
    assert decide(index, repeat) is ClaimVerdict.IN_PROGRESS
    lost = index.decide(repeat, NOW, 0, lambda vm: False)
    assert lost.verdict is ClaimVerdict.UNKNOWN
    assert decide(index, repeat, now=NOW + 61) is ClaimVerdict.UNKNOWN
    outcome = OrderOutcome(key, ClaimId('a'), known=True, status=201)
    index.apply(Offset(1), NOW, OrderBatch(outcomes=(outcome,)))
    assert decide(index, repeat, now=NOW + 61) is ClaimVerdict.REPLAY
    other_body = make_claim('c', key, body='ash')
    assert decide(index, other_body) is ClaimVerdict.REUSED


def test_trimmed_key_is_rejected(index: OrderIndex) -> None:
    """Guards against running an order whose earlier record was trimmed."""
    old = make_claim('a', make_key(NOW - 3600))
    assert decide(index, old) is ClaimVerdict.UNCLAIMED
    index.apply(Offset(0), NOW - 3600, OrderBatch(claims=(old,)))
    index.prune(NOW - 600)
    repeat = make_claim('b', old.key)
    verdict = decide(index, repeat, horizon=NOW - 600)
    assert verdict is ClaimVerdict.EXPIRED


def test_key_from_the_future_is_rejected(index: OrderIndex) -> None:
    """Guards against a key that still looks new after it was trimmed."""
    future = make_claim('a', make_key(NOW + 3600))
    assert decide(index, future) is ClaimVerdict.INVALID


def test_only_version_seven_keys_are_accepted(key: OrderKey) -> None:
    """Guards against accepting keys that do not contain their time."""
    assert canonical_key(str(uuid.uuid4())) is None
    assert canonical_key('walnut') is None
    assert canonical_key(key.key.upper()) == key.key
    assert key_time(key.key) == pytest.approx(NOW)
