"""Failures of reading and checking service files."""

from pathlib import Path

from pollenloom.configuration.file_cache import FileCache
from pollenloom.configuration.file_collector import collect_files
from pollenloom.configuration.file_loader import load_services
from pollenloom.core.ids import ServiceId
from tests.configuration.service_texts import NOW, service_text


def render(files: dict[str, str]) -> list[str]:
    return [problem.render() for problem in load_services(files, NOW).problems]


def test_valid_file_has_typed_values() -> None:
    """Guards against strict checks that reject TOML's own types."""
    loaded = load_services({'a.toml': service_text(share='2.5')}, NOW)
    assert loaded.problems == ()
    service = loaded.services[ServiceId('minutes')]
    assert repr(service.accounts[0].share) == '2.5'
    assert service.shutdown_date.utcoffset() is not None


def test_all_problems_of_all_files_at_once() -> None:
    """Guards against a publish that fails once for each mistake."""
    wrong = service_text(share='-1').replace("['v1']", "'v1'")
    problems = render(
        {
            'a.toml': wrong,
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
    """Guards against an API key in logs and error messages."""
    lines = service_text().splitlines()
    lines[-1] = "key_hashes = ['sk-very-secret']"
    lines.append("key = 'sk-very-secret'")
    text = '\n'.join(render({'a.toml': '\n'.join(lines)}))
    assert 'accounts[0].key_hashes[0]' in text
    assert 'accounts[0].key: expected one of the keys key_hashes' in text
    assert 'secret' not in text


def test_checks_across_files() -> None:
    """Guards against a key that would stand for two client accounts."""
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
        "b.toml: accounts[0].key_hashes[0]: expected a key of 'other' alone",
        'b.toml: service: expected an id that no other file has',
        (
            'c.toml: shutdown_date: expected a time after'
            ' 2026-01-01T00:00:00+00:00'
        ),
        'c.toml: versions[1]: expected each name once',
    ]


def test_names_of_own_paths_are_refused() -> None:
    """Guards against an application whose calls the front end takes itself."""
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
    """Guards against an ended service that blocks all later publishes."""
    text = service_text(date='2025-01-01T00:00:00Z')
    service = load_services({'a.toml': text}, 0).services
    dates = {name: file.shutdown_date for name, file in service.items()}
    assert load_services({'a.toml': text}, NOW, dates).problems == ()


def test_unchanged_files_are_not_checked_again() -> None:
    """Guards against 1,500 full checks a day of files with 2,600 accounts."""
    cache = FileCache()
    first = cache.load({'a.toml': service_text(), 'b.toml': 'x = 1'})
    cache.load({'a.toml': service_text()})
    third = cache.load({'a.toml': service_text(), 'b.toml': 'x = 1'})
    assert third['a.toml'] is first['a.toml']
    assert third['b.toml'] is first['b.toml']
    assert len(cache.latest) == 2


def test_collector_names_files_from_the_directory_on(tmp_path: Path) -> None:
    """Guards against file names that differ between two operators."""
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
