"""Tests of reading and checking service files."""

from pathlib import Path

from pollenloom.configuration.file_cache import FileCache
from pollenloom.configuration.file_collector import collect_files
from pollenloom.configuration.file_loader import load_services
from pollenloom.core.ids import ServiceId
from tests.configuration.service_texts import NOW, service_text


def render(files: dict[str, str]) -> list[str]:
    return [problem.render() for problem in load_services(files, NOW).problems]


def test_valid_file_has_typed_values() -> None:
    """Guards against strict type checks that reject native TOML types."""
    loaded = load_services({'a.toml': service_text(share='2.5')}, NOW)
    assert loaded.problems == ()
    service = loaded.services[ServiceId('minutes')]
    assert repr(service.accounts[0].share) == '2.5'
    assert service.shutdown_date.utcoffset() is not None


def test_all_problems_of_all_files_at_once() -> None:
    """Guards against reporting only the first of several problems."""
    invalid = service_text(share='-1').replace("['v1']", "'v1'")
    problems = render(
        {
            'a.toml': invalid,
            'b.toml': 'service = "b\n',
            'c.toml': service_text(service='Minutes!', share='"3"'),
        }
    )
    assert problems == [
        (
            'a.toml: accounts[0].share: expected a number (weight)'
            ' above 0 and at most 1 000 000, found -1'
        ),
        (
            'a.toml: versions: expected a list with at least one entry,'
            " found 'v1'"
        ),
        (
            'b.toml: expected TOML, found a syntax error:'
            r" Illegal character '\n' (at line 1, column 13)"
        ),
        (
            'c.toml: accounts[0].share: expected a number (weight)'
            " above 0 and at most 1 000 000, found '3'"
        ),
        (
            'c.toml: service: expected lower-case letters, digits and'
            " hyphens, at most 63, found 'Minutes!'"
        ),
    ]


def test_key_in_place_of_its_hash_is_not_shown() -> None:
    """Guards against API keys in logs and error messages.

    An operator may enter the key itself in place of its hash.
    """
    lines = service_text().splitlines()
    lines[-1] = "key_hashes = ['sk-very-secret']"
    lines.append("key = 'sk-very-secret'")
    text = '\n'.join(render({'a.toml': '\n'.join(lines)}))
    assert 'accounts[0].key_hashes[0]' in text
    assert 'accounts[0].key: expected one of the keys key_hashes' in text
    assert 'secret' not in text


def test_checks_across_files() -> None:
    """Guards against files that are valid alone but conflict with others.

    For example, an API key would identify two client accounts.
    """
    problems = render(
        {
            'a.toml': service_text(),
            'b.toml': service_text(account='other'),
            'c.toml': service_text(
                service='labels',
                date='2025-01-01T00:00:00Z',
            ).replace("['v1']", "['v1', 'v1']"),
        }
    )
    assert [line.split(', found')[0] for line in problems] == [
        (
            'b.toml: accounts[0].key_hashes[0]: expected the hash of a key'
            " that only 'other' has"
        ),
        'b.toml: service: expected an id that no other file has',
        (
            'c.toml: shutdown_date: expected a time after'
            ' 2026-01-01T00:00:00+00:00'
        ),
        'c.toml: versions[1]: expected each name once',
    ]


def test_reserved_names_are_rejected() -> None:
    """Guards against an application whose calls never reach it.

    The front end handles paths that start with a reserved name itself.
    """
    names = ('v1', 'healthz', 'readyz')
    files = {f'{name}.toml': service_text(service=name) for name in names}
    assert [line for line in render(files) if 'front end' in line] == [
        (
            f'{name}.toml: service: expected a name other than the paths of'
            f' the front end (healthz, readyz, v1), found {name!r}'
        )
        for name in sorted(names)
    ]


def test_ended_service_stays_acceptable() -> None:
    """Guards against an ended service that blocks all later publishes.

    Its shutdown date is in the past, which is invalid only for a new date.
    """
    text = service_text(date='2025-01-01T00:00:00Z')
    service = load_services({'a.toml': text}, 0).services
    dates = {name: file.shutdown_date for name, file in service.items()}
    assert load_services({'a.toml': text}, NOW, dates).problems == ()


def test_unchanged_files_are_not_checked_again() -> None:
    """Guards against checking unchanged files again on each publish.

    At 1,500 publishes a day, files of 2,600 client accounts cost too much.
    """
    cache = FileCache()
    first = cache.load({'a.toml': service_text(), 'b.toml': 'x = 1'})
    cache.load({'a.toml': service_text()})
    third = cache.load({'a.toml': service_text(), 'b.toml': 'x = 1'})
    assert third['a.toml'] is first['a.toml']
    assert third['b.toml'] is first['b.toml']
    assert len(cache.latest) == 2


def test_file_names_start_with_the_given_directory(tmp_path: Path) -> None:
    """Guards against file names that differ between operators.

    Hidden directories must be skipped, and directories without service files
    and files that are not UTF-8 must be reported.
    """
    root = tmp_path / 'carromwerk'
    for folder in ('minutes', '.venv', 'answers'):
        (root / folder).mkdir(parents=True)
        (root / folder / 'pollenloom.toml').write_text('x = 1')
    (root / 'answers' / 'pollenloom.toml').write_bytes(b'x = "\xff"')
    empty = tmp_path / 'empty'
    collected = collect_files([root, root / 'minutes', empty])
    assert collected.files == {'carromwerk/minutes/pollenloom.toml': 'x = 1'}
    assert [problem.render() for problem in collected.problems] == [
        (
            f'{empty}: expected a directory with a pollenloom.toml in or'
            ' below it, found none'
        ),
        (
            'carromwerk/answers/pollenloom.toml: expected UTF-8 text,'
            ' found byte 0xff at 5'
        ),
    ]
