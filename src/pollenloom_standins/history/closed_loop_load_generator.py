"""Closed-loop load of several client accounts on all routers."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any, Final

import uuid_utils

from pollenloom.core.ids import AccountId, VmId
from pollenloom_standins.demo.demo_plan import APPLICATION, MODEL
from pollenloom_standins.history.call_record import (
    CallKind,
    CallOutcome,
    CallRecord,
)
from pollenloom_standins.history.caller import Caller
from pollenloom_standins.history.history import History

# Client accounts with their numbers of workers. `juniors` overloads the fleet
# although it has share 1; `museum` has the same share, the others have 4 to
# 12 times as much.
WORKERS_BY_ACCOUNT: Final = (
    (AccountId('juniors'), 14),
    (AccountId('helpdesk'), 3),
    (AccountId('wholesale'), 3),
    (AccountId('museum'), 3),
    (AccountId('webshop'), 3),
)
KINDS: Final = (
    CallKind.STREAM,
    CallKind.MODEL,
    CallKind.READ,
    CallKind.ORDER,
)
KIND_WEIGHTS: Final = (5, 2, 3, 3)
MAX_PAUSE_SECONDS: Final = 0.1
MAX_TOKENS: Final = 48
KEPT_ORDERS: Final = 20
REPEATED_ORDER_SHARE: Final = 0.3
ORDER_ATTEMPTS: Final = 3
UNCERTAIN_OUTCOMES: Final = frozenset((CallOutcome.LOST, CallOutcome.CUT))


@dataclass(frozen=True)
class Order:
    """Idempotency key and body of an order, which may be sent again."""

    key: str
    body: str


class RouterRotation:
    """Routers that the load balancer sends calls to.

    Attributes:
        base_urls: Base URLs for callers by VM id.
    """

    def __init__(self) -> None:
        self.base_urls: dict[VmId, str] = {}

    def pick(self, random_source: random.Random) -> VmId | None:
        """Return a random router; None if there is none."""
        return (
            random_source.choice(sorted(self.base_urls))
            if self.base_urls
            else None
        )


class ClosedLoopLoadGenerator:
    """Makes calls until it is stopped and records each of them."""

    def __init__(self, history: History, routers: RouterRotation) -> None:
        self.history = history
        self.routers = routers
        self.is_stopped = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all workers."""
        self.history.started = time.time()
        for account, count in WORKERS_BY_ACCOUNT:
            orders: list[Order] = []
            for number in range(count):
                seed = f'{self.history.seed} {account} {number}'
                worker = LoadWorker(self, account, orders, seed)
                self.tasks.append(asyncio.create_task(worker.run()))

    async def stop(self) -> None:
        """Start no more calls and wait for those in progress."""
        self.is_stopped = True
        self.history.ended = time.time()
        await asyncio.gather(*self.tasks)


class LoadWorker:
    """Makes one call after the other for a client account."""

    def __init__(
        self,
        load: ClosedLoopLoadGenerator,
        account: AccountId,
        orders: list[Order],
        seed: str,
    ) -> None:
        self.load = load
        self.account = account
        self.orders = orders
        self.random_source = random.Random(seed)
        self.caller = Caller(account, load.history.calls)

    async def run(self) -> None:
        """Make calls until the load generator is stopped."""
        while not self.load.is_stopped:
            kind = self.random_source.choices(KINDS, KIND_WEIGHTS)[0]
            if kind is CallKind.ORDER:
                await self.order()
            elif kind is CallKind.READ:
                await self.read()
            else:
                await self.call_model(kind)
            await self.pause()

    async def pause(self) -> None:
        """Wait for a random time between two calls."""
        await asyncio.sleep(self.random_source.uniform(0, MAX_PAUSE_SECONDS))

    def new_record(self, kind: CallKind, key: str = '') -> CallRecord | None:
        """Return the record of a new call; None if no router is in rotation."""
        vm = self.load.routers.pick(self.random_source)
        if vm is None:
            return None
        return CallRecord(
            account=self.account,
            kind=kind,
            vm=vm,
            started=time.time(),
            key=key,
        )

    async def call_model(self, kind: CallKind) -> None:
        """Send the model a prompt that was not sent before."""
        record = self.new_record(kind)
        if record is None:
            return
        tokens = self.random_source.randint(1, MAX_TOKENS)
        content = f'{uuid_utils.uuid7()} [tokens={tokens}]'
        body: dict[str, Any] = {
            'model': MODEL,
            'stream': kind is CallKind.STREAM,
            'messages': [{'role': 'user', 'content': content}],
        }
        base = self.load.routers.base_urls[record.vm]
        await self.caller.complete(record, base, body)

    async def read(self) -> None:
        """Read a stock entry that was not read before."""
        record = self.new_record(CallKind.READ)
        if record is not None:
            await self.call_application(
                record, f'/stock/{uuid_utils.uuid7()}', ''
            )

    async def order(self) -> None:
        """Send an order; repeat it at any router while it is uncertain."""
        order = self.choose_order()
        for _ in range(ORDER_ATTEMPTS):
            record = self.new_record(CallKind.ORDER, order.key)
            if record is None:
                return
            await self.call_application(record, '/orders', order.body)
            is_uncertain = (
                record.outcome in UNCERTAIN_OUTCOMES or record.run == 'unknown'
            )
            if not is_uncertain:
                return
            await self.pause()

    def choose_order(self) -> Order:
        """Return a new order or one that this client account sent before."""
        if self.orders and self.random_source.random() < REPEATED_ORDER_SHARE:
            return self.random_source.choice(self.orders)
        key = str(uuid_utils.uuid7())
        order = Order(key, f'{{"wood": "walnut", "note": "{key}"}}')
        self.orders.append(order)
        del self.orders[:-KEPT_ORDERS]
        return order

    async def call_application(
        self, record: CallRecord, path: str, body: str
    ) -> None:
        """Call a path of the application and record the outcome."""
        base = self.load.routers.base_urls[record.vm]
        url_path = f'/{APPLICATION}{path}'
        await self.caller.use_application(record, base, url_path, body)
