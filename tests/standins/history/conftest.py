"""A history that keeps every promise, and records to change it with."""

import pytest

from pollenloom.core.ids import AccountId, DataCentreId, ServiceId, VmId
from pollenloom_standins.application.order_list import OrderRunRecord
from pollenloom_standins.backend.run_history import RunRecord
from pollenloom_standins.history.call_record import (
    CallKind,
    CallOutcome,
    CallRecord,
)
from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.samples import (
    ConfirmedPublish,
    OrderRun,
    RevisionSample,
    ServerRun,
    ServerSample,
)

ROUTER = VmId('router-0')
SERVER = VmId('timber-almelo')
ALMELO = DataCentreId('almelo')
KEY = 'key-1'


def call(
    request_id: str,
    started: float,
    outcome: CallOutcome = CallOutcome.COMPLETE,
    **fields: str,
) -> CallRecord:
    """Return a read that takes 1 s."""
    return CallRecord(
        account=AccountId('museum'),
        kind=CallKind.READ,
        vm=ROUTER,
        started=started,
        ended=started + 1,
        outcome=outcome,
        request_id=request_id,
        **fields,  # type: ignore[arg-type]
    )


def order_call(started: float, response: str) -> CallRecord:
    record = call('order', started, key=KEY, answer=response)
    record.kind = CallKind.ORDER
    return record


def order_run() -> OrderRun:
    order = OrderRunRecord(
        key=KEY,
        body_hash='',
        request_id='order',
        path='/orders',
        at=1,
    )
    return OrderRun(server=SERVER, order=order)


def server_run(request_id: str, started: float) -> ServerRun:
    return ServerRun(
        server=SERVER,
        service=ServiceId('timber'),
        data_centre=ALMELO,
        run=RunRecord(
            request_id=request_id,
            account='museum',
            path='/stock',
            fencing_number=1,
            started=started,
        ),
    )


def fault(kind: FaultKind, target: str, start: float) -> FaultRecord:
    """Return a fault that lasts 10 s."""
    return FaultRecord(
        kind=kind,
        target=target,
        started=start,
        ended=start + 10,
        recovered=start + 11,
    )


def server_sample(at: float, overloads: int, leaving: int) -> ServerSample:
    return ServerSample(
        server=SERVER,
        start=1,
        at=at,
        cold_slots=1,
        cold_overloads=overloads,
        peak_running_cold=1,
        refused_leaving=leaving,
    )


def revision_sample(at: float, revision: int) -> RevisionSample:
    return RevisionSample(
        vm=ROUTER,
        start=1,
        running_since=0,
        asked_at=at,
        revision=revision,
    )


@pytest.fixture
def history() -> History:
    """History with a drain, a leaving server, a stop and a publish."""
    return History(
        seed=1,
        started=100,
        ended=140,
        calls=[
            *(call(f'read-{at}', at) for at in range(100, 140, 5)),
            call('refused', 101, CallOutcome.REFUSED, run='no'),
            order_call(102, 'done'),
            order_call(103, 'done'),
        ],
        faults=[
            fault(FaultKind.DATA_CENTRE_DRAINED, ALMELO, 110),
            fault(FaultKind.BACKEND_LEAVING_UNLISTED, SERVER, 110),
            fault(FaultKind.ROUTER_RESTARTED, ROUTER, 125),
        ],
        runs=[
            server_run('order', 102),
            # Sent before the data centre was drained, started after it.
            server_run('read-110', 112),
        ],
        orders=[order_run()],
        servers=[
            server_sample(105, 0, 0),
            server_sample(114, 0, 2),
            server_sample(119, 0, 2),
        ],
        revisions=[
            revision_sample(101, 1),
            revision_sample(106, 2),
            revision_sample(112, 2),
        ],
        publishes=[
            ConfirmedPublish(publisher='anna', revision=2, told_at=105),
        ],
    )
