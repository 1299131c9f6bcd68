"""Tests that all readers of the log make the same decisions.

Readers may read records more than once, or start from a snapshot after
records were trimmed.
"""

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.configuration.change_history import ChangeHistory
from pollenloom.configuration.log_entries import (
    ConfigurationChange,
    ConfigurationSnapshot,
)
from pollenloom.configuration.publish_outcome import PublishDecision
from pollenloom.core.ids import Offset, PublishId, Revision
from tests.configuration.service_texts import NOW, service_text

Entry = ConfigurationChange | ConfigurationSnapshot
FILES = {'a.toml': service_text()}


def make_change(
    publish_id: str,
    base: int,
    files: dict[str, str] | None = None,
) -> ConfigurationChange:
    return ConfigurationChange(
        publish_id=PublishId(publish_id),
        base_revision=Revision(base),
        publisher=f'publisher of {publish_id}',
        files=FILES if files is None else files,
    )


@dataclass
class Log:
    """Log with its records and the history of a reader that missed none."""

    entries: list[Entry] = field(default_factory=list)
    history: ChangeHistory = field(default_factory=ChangeHistory)

    def append(self, entry: Entry) -> None:
        self.history.apply(Offset(len(self.entries)), NOW, entry)
        self.entries.append(entry)

    def read(self, reader: ChangeHistory, start: int, stop: int) -> None:
        for offset, entry in list(enumerate(self.entries))[start:stop]:
            reader.apply(Offset(offset), NOW, entry)


# Steps of writing a log: the kind of the record, and by how many revisions its
# base is out of date (for a copy, which earlier change is repeated).
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('change', 'copy', 'invalid', 'snapshot')),
        st.integers(0, 3),
    ),
    min_size=1,
    max_size=30,
)


def write_log(steps: list[tuple[str, int]]) -> Log:
    log = Log()
    for number, (step, lag) in enumerate(steps):
        entry = make_entry(log, f'p{number}', step, lag)
        if entry is not None:
            log.append(entry)
    return log


def make_entry(log: Log, name: str, step: str, lag: int) -> Entry | None:
    base = max(0, log.history.revision - lag)
    if step == 'change':
        return make_change(name, base)
    if step == 'invalid':
        return make_change(name, base, {'a.toml': 'x = 1'})
    if step == 'snapshot':
        return log.history.state if log.history.revision else None
    changes = [
        entry for entry in log.entries if isinstance(entry, ConfigurationChange)
    ]
    return changes[-1 - lag % len(changes)] if changes else None


@given(steps=STEPS, reads=st.lists(st.integers(0, 30), max_size=5))
def test_second_reads_change_nothing(
    steps: list[tuple[str, int]],
    reads: list[int],
) -> None:
    """Guards against a reader that applies a record twice.

    A reader that restarts at an earlier offset reads records again; its
    revision must not decrease.
    """
    log = write_log(steps)
    reader = ChangeHistory()
    revisions = [reader.revision]
    reads.append(len(log.entries))
    for stop in reads:
        # Each read starts at offset 0 and repeats records.
        log.read(reader, 0, stop)
        revisions.append(reader.revision)
    assert revisions == sorted(revisions)
    assert reader.state == log.history.state
    assert reader.outcomes == log.history.outcomes


@given(steps=STEPS, trimmed=st.integers(0, 30))
def test_late_reader_agrees_from_a_snapshot(
    steps: list[tuple[str, int]],
    trimmed: int,
) -> None:
    """Guards against readers that disagree after records were trimmed.

    A reader that starts late has only a snapshot in place of the trimmed
    records, and must reach the state of a reader that has read them all.
    """
    log = write_log(steps)
    before = Log()
    for entry in log.entries[:trimmed]:
        before.append(entry)
    # The log retains a snapshot that was made after the trimmed records.
    tail = log.entries[trimmed:]
    if before.history.revision:
        tail = [before.history.state, *tail]
    reader = ChangeHistory()
    reader.mark_gap(Offset(trimmed))
    for distance, entry in enumerate(tail):
        at = trimmed + distance - (len(tail) - len(log.entries[trimmed:]))
        reader.apply(Offset(at), NOW, entry)
    reader.decide_pending()
    assert reader.revision == log.history.revision
    assert reader.state.publish_id == log.history.state.publish_id


def test_snapshot_older_than_the_gap_decides_nothing() -> None:
    """Guards against decisions based on a snapshot that misses a change.

    The snapshot holds the state at position 1 but is appended at offset 2.
    Offset 1 holds an accepted change, and the reader starts at offset 2.
    """
    log = Log()
    log.append(make_change('a', 0))
    stale = log.history.state
    log.append(make_change('b', 1))
    log.append(stale)
    log.append(make_change('c', 2))
    log.append(log.history.state)
    reader = ChangeHistory()
    reader.mark_gap(Offset(2))
    log.read(reader, 2, 4)
    assert (reader.complete, reader.revision) == (False, 1)
    log.read(reader, 4, 5)
    assert (reader.complete, reader.revision) == (True, 3)
    assert reader.state == log.history.state


def test_outcomes_name_the_winning_publisher() -> None:
    """Guards against outcomes that hide which publish was accepted instead.

    A lost or invalid publish reports the revision in force and its publisher,
    and a repeated copy does not change the outcome of an accepted publish.
    """
    log = Log()
    log.append(make_change('a', 0))
    log.append(make_change('b', 0))
    log.append(make_change('c', 1, {'a.toml': 'x = 1'}))
    log.append(make_change('a', 0))
    decisions = {
        publish_id: (outcome.decision, outcome.revision, outcome.winner)
        for publish_id, outcome in log.history.outcomes.items()
    }
    assert decisions == {
        'a': (PublishDecision.ACCEPTED, 1, 'publisher of a'),
        'b': (PublishDecision.LOST, 1, 'publisher of a'),
        'c': (PublishDecision.INVALID, 1, 'publisher of a'),
    }
    assert log.history.outcomes[PublishId('c')].problems
