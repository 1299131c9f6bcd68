"""Size and encoding time of admission messages by number of requests."""

from functools import partial
from typing import Final

from pollenloom.admission.messages import (
    AccountDemand,
    Demand,
    GrantedSlot,
    Grants,
    SettledGrant,
    WaitingHead,
)
from pollenloom.admission.pool_allocator import Allocation
from pollenloom.core.ids import GrantId, ServerId, VmId
from pollenloom.peers.peer_codec import PeerCodec
from pollenloom.peers.peer_frame import FrameKind, PeerFrame
from pollenloom.peers.peer_message import PeerMessage
from pollenloom_standins.capacity.owner_slopes import (
    POOL,
    make_settlement,
)
from pollenloom_standins.capacity.service_files import account_name
from pollenloom_standins.capacity.slope_table import SlopeTable, minimum_seconds

REQUEST_COUNTS: Final = (1, 4, 16)
ROUNDS: Final = 200
MICROSECONDS_PER_SECOND: Final = 1e6
# Start of the router process, milliseconds since the Unix epoch.
STREAM: Final = 1_893_456_000_000
PREFIX_HASH: Final = 2**63
CODEC: Final = PeerCodec(Demand, Grants)


def make_messages(requests: int) -> tuple[PeerMessage, ...]:
    """Return the three messages that admit and settle `requests` requests.

    The first announces demand, the second grants a slot to each request and
    the third settles all grants.
    """
    accounts = tuple(map(account_name, range(requests)))
    head = WaitingHead(hint=300, age=0.01, prefixes=(PREFIX_HASH,) * 4)
    slots = tuple(
        GrantedSlot(
            GrantId(f'router-001.{STREAM:x}.1.{number}'),
            account,
            ServerId('server-001'),
            300,
        )
        for number, account in enumerate(accounts)
    )
    demand = Demand(
        POOL,
        STREAM,
        1,
        1,
        accounts=tuple(AccountDemand(name, 1, (head,)) for name in accounts),
    )
    settlements = Demand(
        POOL,
        STREAM,
        2,
        2,
        settled=tuple(make_slot_settlement(slot) for slot in slots),
    )
    return demand, Grants(POOL, 7, 1, 1, 1, slots), settlements


def make_slot_settlement(slot: GrantedSlot) -> SettledGrant:
    """Return the settlement of a granted slot that served its request."""
    return make_settlement(Allocation(VmId('router-001'), slot))


def encode_and_decode(messages: tuple[PeerMessage, ...]) -> None:
    """Encode each message as its sender does and decode it again.

    Repeats this `ROUNDS` times.
    """
    for _ in range(ROUNDS):
        for message in messages:
            frame = PeerFrame(FrameKind.MESSAGE, 0, message)
            CODEC.decode(CODEC.encode(frame))


def measure_admission() -> SlopeTable:
    """Measure the messages at each number of requests."""
    table = SlopeTable(
        'admission: demand, grants and settlement in three messages',
        'requests',
    )
    for requests in REQUEST_COUNTS:
        messages = make_messages(requests)
        sizes = [
            len(CODEC.encode(PeerFrame(FrameKind.MESSAGE, 0, message)))
            for message in messages
        ]
        seconds = minimum_seconds(partial(encode_and_decode, messages)) / ROUNDS
        table.rows[requests] = {
            'demand bytes': sizes[0],
            'grants bytes': sizes[1],
            'settlement bytes': sizes[2],
            'encode and decode us': MICROSECONDS_PER_SECOND * seconds,
        }
    return table
