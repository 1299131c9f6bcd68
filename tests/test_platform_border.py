"""Only the adapter knows names of the users' protocol."""

import ast
import re
from pathlib import Path

import pollenloom
from pollenloom.platform import wire_names

SOURCE = Path(pollenloom.__file__).parent
ADAPTER = SOURCE / 'platform'
ASSEMBLY = SOURCE / 'console' / 'node_process.py'
# Decisions may not know how messages are encoded.
DECIDING = ('routing', 'admission')
ENCODINGS = frozenset(
    ('aiohttp', 'cbor2', 'httptools', 'msgspec', 'sanic', 'websockets'),
)
# Modules of admission that came with the product's own interface talk to
# engines and peers themselves.
CODED = frozenset(
    (
        'messages.py',
        'admission_status.py',
        'cache_event.py',
        'engine_load_report.py',
    ),
)
DECIDING_MODULES = ('pollenloom.kernel', 'pollenloom.admission')
CALLS = re.compile(r'/log-(append|read|newest|join|commit|owners)')


def modules_outside_the_adapter() -> list[Path]:
    """Return all modules of the product but those of the adapter."""
    return [
        path for path in SOURCE.rglob('*.py') if ADAPTER not in path.parents
    ]


def imports_of(path: Path) -> set[str]:
    """Return the full names that a module imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.update(f'{node.module}.{name.name}' for name in node.names)
    return found


def wire_words() -> set[str]:
    """Return the headers, topics and calls that the adapter names."""
    words: set[str] = set()
    for value in wire_names.__dict__.values():
        if isinstance(value, bytes) and value.startswith(b'x-pollenloom'):
            words.add(value.decode())
        if isinstance(value, str) and value.startswith('keyed.'):
            words.add(value)
    return words


def test_no_other_module_has_a_name_of_the_wire() -> None:
    """Guards against names of the protocol that spread into the product."""
    words = wire_words()
    assert words
    for path in modules_outside_the_adapter():
        text = path.read_text(encoding='utf-8').lower()
        found = [word for word in words if word in text]
        assert not found, f'{path}: {found}'
        assert not CALLS.search(text), path


def test_only_the_assembly_imports_the_adapter() -> None:
    """Guards against decisions that depend on the users' platform."""
    for path in modules_outside_the_adapter():
        names = {
            name
            for name in imports_of(path)
            if name.startswith('pollenloom.platform')
        }
        assert path == ASSEMBLY or not names, f'{path}: {names}'


def test_decisions_know_no_encoding() -> None:
    """Guards against decisions that only one front end can use."""
    for package in DECIDING:
        for path in (SOURCE / package).rglob('*.py'):
            roots = {name.split('.')[0] for name in imports_of(path)}
            is_coded = path.name in CODED or 'engine_reports' in path.parts
            assert is_coded or not roots & ENCODINGS, path


def test_adapter_decides_nothing() -> None:
    """Guards against policy in the adapter: it may not look at the time."""
    for path in ADAPTER.rglob('*.py'):
        for name in imports_of(path):
            assert name not in {'time', 'random'}
            assert not name.startswith(DECIDING_MODULES)
