"""Bounded cardinality of metrics."""

from prometheus_client import generate_latest

from pollenloom.configuration.account_entry import AccountEntry
from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.ids import AccountId, Revision, ServiceId
from pollenloom.observability.account_classes import NAMED_ACCOUNTS
from pollenloom.observability.metrics import Metrics
from tests.fakes.fixed_configuration import (
    MODEL,
    SHUTDOWN,
    make_configuration,
)

ACCOUNTS = 2600


def make_model_configuration(revision: int, first_share: int) -> Configuration:
    """Return a configuration with one model and accounts of rising shares.

    `first_share` shifts which accounts have the largest shares.
    """
    template = make_configuration(SHUTDOWN).services[MODEL]
    accounts = tuple(
        AccountEntry(
            name=AccountId(f'account-{number}'),
            share=1 + (number + first_share) % ACCOUNTS,
        )
        for number in range(ACCOUNTS)
    )
    service = ServiceFile.model_validate(
        template.model_copy(update={'accounts': accounts}).model_dump()
    )
    return Configuration(
        revision=Revision(revision),
        services={ServiceId(MODEL): service},
    )


def test_series_stay_few_over_many_configurations() -> None:
    """Guards against series that grow with accounts or configurations.

    Each of five configurations names other accounts out of 2,600.
    """
    metrics = Metrics()
    for revision in range(1, 6):
        metrics.update_accounts(
            make_model_configuration(revision, first_share=revision * 500)
        )
        for number in range(ACCOUNTS):
            account = AccountId(f'account-{number}')
            metrics.observe_response(MODEL, account, 0.1, 1)
        classes = {
            sample.labels['account_class']
            for family in metrics.duration_seconds.collect()
            for sample in family.samples
        }
        assert len(classes) == NAMED_ACCOUNTS + 1
        assert 'other' in classes
    largest = f'account-{ACCOUNTS - 1 - 2500}'
    assert largest in classes
    assert b'pollenloom_first_byte_seconds_bucket' in generate_latest(
        metrics.registry
    )
