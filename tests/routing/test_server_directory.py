"""Tests of which servers may receive requests."""

from dataclasses import replace

from pollenloom.core.ids import DataCentreId, Offset, ServerId, StoreEra
from pollenloom.routing.server_directory import (
    EXPIRY_GRACE_SECONDS,
    GONE_SECONDS,
    ServerDirectory,
)
from pollenloom.routing.server_entry import ServerEntry
from pollenloom.routing.store_position import StorePosition
from tests.routing.conftest import SERVICE

NOW = 1000.0
WALL = 50_000.0


def add(
    directory: ServerDirectory,
    entry: ServerEntry,
    version: int = 1,
    now: float = NOW,
    *,
    era: int = 1,
    is_first_read: bool = True,
) -> None:
    """Apply an entry to the directory."""
    directory.upsert(
        entry,
        StorePosition(StoreEra(era), Offset(version)),
        now,
        wall=WALL,
        is_first_read=is_first_read,
    )


def test_leaving_server_is_not_usable(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against new requests to a server that drains."""
    add(directory, entry)
    assert directory.usable(SERVICE, NOW)
    add(directory, replace(entry, is_leaving=True), 2)
    assert not directory.usable(SERVICE, NOW)


def test_older_entry_is_ignored(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against a late read that makes a draining server usable again."""
    add(directory, replace(entry, is_leaving=True), 5)
    add(directory, entry, 4)
    assert not directory.usable(SERVICE, NOW)


def test_removal_takes_effect_at_once(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against requests to a server that was removed."""
    add(directory, entry)
    directory.remove(entry.server, NOW)
    assert not directory.usable(SERVICE, NOW)
    assert directory.drop_removed(NOW) == (entry.server,)


def test_entry_that_expired_in_an_outage_is_kept_for_a_while(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against a directory without servers after a store outage.

    Entries expire while servers cannot write to the store.
    """
    add(directory, entry)
    directory.store_recovered(NOW)
    directory.retain((), NOW)
    assert directory.usable(SERVICE, NOW + EXPIRY_GRACE_SECONDS - 0.1)
    assert not directory.usable(SERVICE, NOW + EXPIRY_GRACE_SECONDS)


def test_expired_entry_that_is_written_again_stays(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against dropping a server that registered again."""
    add(directory, entry)
    directory.store_recovered(NOW)
    directory.remove(entry.server, NOW)
    add(directory, entry, 2, NOW + 1)
    directory.drop_removed(NOW + EXPIRY_GRACE_SECONDS + 1)
    assert directory.usable(SERVICE, NOW + EXPIRY_GRACE_SECONDS + 1)


def test_evacuated_data_centre_is_not_usable_and_returns_cold(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against full load on servers that were idle."""
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
    """Guards against full load on a server that has just started."""
    add(directory, entry, is_first_read=False)
    assert directory.usable(SERVICE, NOW)[0].is_cold(NOW + 2)


def test_restart_under_the_same_id_is_cold(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against treating a restarted server as still warm."""
    add(directory, entry)
    assert not directory.servers[ServerId('i-1')].is_cold(NOW)
    add(
        directory,
        replace(entry, started_at=200),
        2,
        is_first_read=False,
    )
    assert directory.servers[ServerId('i-1')].is_cold(NOW + 2)


def test_repeated_entry_does_not_shorten_the_cold_time(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against an entry with no cold time that hides a cold start."""
    add(directory, entry, is_first_read=False)
    add(directory, entry, 2, NOW + 1, is_first_read=False)
    assert directory.servers[entry.server].is_cold(NOW + 2.5)


def test_server_that_says_it_leaves_is_not_usable(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against requests to a leaving server whose entry is not read.

    A later entry without the state may be older than the response.
    """
    add(directory, entry)
    directory.servers[entry.server].has_said_leaving = True
    assert not directory.usable(SERVICE, NOW)
    assert not directory.has_usable(SERVICE, NOW)
    add(directory, entry, 2)
    assert not directory.usable(SERVICE, NOW)


def test_server_that_left_is_usable_after_its_restart(
    directory: ServerDirectory,
    entry: ServerEntry,
) -> None:
    """Guards against a server that stays unused although it serves again."""
    add(directory, entry)
    directory.servers[entry.server].has_said_leaving = True
    add(directory, replace(entry, started_at=entry.started_at + 9), 2)
    assert directory.usable(SERVICE, NOW)


def test_entry_of_a_later_era_counts_at_a_lower_offset(
    directory: ServerDirectory, entry: ServerEntry
) -> None:
    """Guards against a leaving server whose entry looks older than it is.

    Offsets are given out again when the store comes back from a copy.
    """
    add(directory, replace(entry, sequence=5), 15)
    add(directory, replace(entry, sequence=6, is_leaving=True), 12, era=2)
    assert not directory.usable(SERVICE, NOW)


def test_entry_from_before_a_restore_is_outdated(
    directory: ServerDirectory, entry: ServerEntry
) -> None:
    """Guards against a copy of the store that takes back what a server said."""
    add(directory, replace(entry, sequence=6, is_leaving=True), 15)
    position = StorePosition(StoreEra(2), Offset(8))
    assert directory.is_outdated(replace(entry, sequence=5), position)
    assert not directory.is_outdated(replace(entry, sequence=7), position)


def test_server_that_is_gone_has_to_write_again_after_a_restore(
    directory: ServerDirectory, entry: ServerEntry
) -> None:
    """Guards against servers that have left and are used after a restore."""
    add(directory, replace(entry, sequence=6), 15)
    directory.remove(entry.server, NOW)
    directory.drop_removed(NOW)
    position = StorePosition(StoreEra(2), Offset(8))
    assert directory.is_outdated(replace(entry, sequence=6), position)
    assert not directory.is_outdated(replace(entry, sequence=7), position)


def test_entry_in_the_era_of_the_known_one_is_not_outdated(
    directory: ServerDirectory, entry: ServerEntry
) -> None:
    """Guards against a server whose numbers begin anew without a restore."""
    add(directory, replace(entry, sequence=600), 15)
    position = StorePosition(StoreEra(1), Offset(16))
    assert not directory.is_outdated(replace(entry, sequence=1), position)


def test_restarted_server_is_later_than_any_entry_before(
    directory: ServerDirectory, entry: ServerEntry
) -> None:
    """Guards against a restarted server that is ignored for its low number."""
    add(directory, replace(entry, sequence=600, is_leaving=True), 15)
    restarted = replace(entry, sequence=1, started_at=entry.started_at + 5)
    position = StorePosition(StoreEra(2), Offset(8))
    assert not directory.is_outdated(restarted, position)


def test_dropped_servers_are_forgotten(
    directory: ServerDirectory, entry: ServerEntry
) -> None:
    """Guards against a directory that grows with each server that leaves."""
    for number in range(3):
        server = ServerId(f'i-{number}')
        now = NOW + number * GONE_SECONDS
        add(directory, replace(entry, server=server), number, now)
        directory.remove(server, now)
        directory.drop_removed(now)
    assert set(directory.gone) == {server}
