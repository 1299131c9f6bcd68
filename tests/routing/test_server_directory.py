"""Which servers may get requests."""

from dataclasses import replace

from pollenloom.core.ids import DataCentreId, ServerId
from pollenloom.routing.server_directory import LAPSE_SECONDS, ServerDirectory
from pollenloom.routing.server_entry import ServerEntry
from tests.routing.conftest import SERVICE

NOW = 1000.0
WALL = 50_000.0


def add(
    directory: ServerDirectory,
    entry: ServerEntry,
    version: int = 1,
    now: float = NOW,
    *,
    is_first_read: bool = True,
) -> None:
    """Register an entry."""
    directory.upsert(
        entry,
        version,
        now,
        wall=WALL,
        is_first_read=is_first_read,
    )


def test_leaving_server_gets_nothing(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against new work for a server that drains."""
    add(directory, entry)
    assert directory.usable(SERVICE, NOW)
    add(directory, replace(entry, is_leaving=True), 2)
    assert not directory.usable(SERVICE, NOW)


def test_older_entry_is_ignored(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against a late read that brings a drained server back."""
    add(directory, replace(entry, is_leaving=True), 5)
    add(directory, entry, 4)
    assert not directory.usable(SERVICE, NOW)


def test_removal_takes_effect_at_once(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against work for a server that left without notice."""
    add(directory, entry)
    directory.remove(entry.server, NOW)
    assert not directory.usable(SERVICE, NOW)
    assert directory.drop_gone(NOW) == (entry.server,)


def test_entry_that_lapsed_in_an_outage_is_kept_for_a_moment(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against an empty fleet when the store returns."""
    add(directory, entry)
    directory.store_regained(NOW)
    directory.retain((), NOW)
    assert directory.usable(SERVICE, NOW + LAPSE_SECONDS - 0.1)
    assert not directory.usable(SERVICE, NOW + LAPSE_SECONDS)


def test_lapsed_entry_that_returns_stays(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against dropping a server that registered again."""
    add(directory, entry)
    directory.store_regained(NOW)
    directory.remove(entry.server, NOW)
    add(directory, entry, 2, NOW + 1)
    directory.drop_gone(NOW + LAPSE_SECONDS + 1)
    assert directory.usable(SERVICE, NOW + LAPSE_SECONDS + 1)


def test_evacuated_data_centre_gets_nothing_and_returns_cold(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against a full load for servers that were idle."""
    add(directory, entry)
    directory.evacuate(DataCentreId('enschede'))
    assert not directory.usable(SERVICE, NOW)
    directory.readmit(DataCentreId('enschede'), NOW)
    known = directory.usable(SERVICE, NOW)[0]
    assert known.is_cold(NOW)
    assert not known.is_cold(NOW + 3)


def test_server_that_appears_later_is_cold(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against a full load for a server that has just started."""
    add(directory, entry, is_first_read=False)
    assert directory.usable(SERVICE, NOW)[0].is_cold(NOW + 2)


def test_restart_under_the_same_id_is_cold(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against taking a restarted server for the warm one before."""
    add(directory, entry)
    assert not directory.servers[ServerId('i-1')].is_cold(NOW)
    add(
        directory,
        replace(entry, started_at=200),
        2,
        is_first_read=False,
    )
    assert directory.servers[ServerId('i-1')].is_cold(NOW + 2)


def test_repeated_entry_does_not_end_cold_early(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against an entry without a cold time that hides a restart."""
    add(directory, entry, is_first_read=False)
    add(directory, entry, 2, NOW + 1, is_first_read=False)
    assert directory.servers[entry.server].is_cold(NOW + 2.5)
