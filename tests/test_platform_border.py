"""Module boundaries of the adapter to the users' platform.

Only the adapter may use names of the users' protocol, and it may make no
decisions. Modules that decide may not depend on encodings.
"""

import ast
import re
from pathlib import Path

import pollenloom
from pollenloom.platform import wire_names

SOURCE = Path(pollenloom.__file__).parent
ADAPTER = SOURCE / 'platform'
ASSEMBLY = SOURCE / 'console' / 'node_process.py'
# Packages that decide and may not depend on how messages are encoded.
DECIDING_PACKAGES = ('routing', 'admission')
ENCODINGS = frozenset(
    ('aiohttp', 'cbor2', 'httptools', 'msgspec', 'sanic', 'websockets'),
)
# Modules of admission from the product's own interface, which exchange encoded
# messages with engines and peers.
ENCODING_MODULES = frozenset(
    (
        'messages.py',
        'admission_status.py',
        'cache_event.py',
        'engine_load_report.py',
    ),
)
FORBIDDEN_IN_ADAPTER = ('pollenloom.kernel', 'pollenloom.admission')
CALL_PATHS = re.compile(r'/log-(append|read|newest|join|commit|owners)')


def modules_outside_the_adapter() -> list[Path]:
    """Return all modules of the product except those of the adapter."""
    return [
        path for path in SOURCE.rglob('*.py') if ADAPTER not in path.parents
    ]


def imports_of(path: Path) -> set[str]:
    """Return the qualified names of the modules and members it imports."""
    imported: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module)
            imported.update(f'{node.module}.{name.name}' for name in node.names)
    return imported


def wire_terms() -> set[str]:
    """Return the names of headers and topics that the adapter defines."""
    terms: set[str] = set()
    for value in wire_names.__dict__.values():
        if isinstance(value, bytes) and value.startswith(b'x-pollenloom'):
            terms.add(value.decode())
        if isinstance(value, str) and value.startswith('keyed.'):
            terms.add(value)
    return terms


def test_only_the_adapter_has_protocol_names() -> None:
    """Guards against names of the users' protocol outside of the adapter.

    Other front ends could then not use these modules unchanged.
    """
    terms = wire_terms()
    assert terms
    for path in modules_outside_the_adapter():
        text = path.read_text(encoding='utf-8').lower()
        found = [term for term in terms if term in text]
        assert not found, f'{path}: {found}'
        assert not CALL_PATHS.search(text), path


def test_only_the_assembly_module_imports_the_adapter() -> None:
    """Guards against modules that depend on the users' platform.

    Only the module that assembles the services may import the adapter.
    """
    for path in modules_outside_the_adapter():
        names = {
            name
            for name in imports_of(path)
            if name.startswith('pollenloom.platform')
        }
        assert path == ASSEMBLY or not names, f'{path}: {names}'


def test_decisions_do_not_depend_on_encodings() -> None:
    """Guards against decisions that only one front end can use.

    A deciding module that imports an encoding works only with messages of
    that encoding.
    """
    for package in DECIDING_PACKAGES:
        for path in (SOURCE / package).rglob('*.py'):
            roots = {name.split('.')[0] for name in imports_of(path)}
            is_exempt = (
                path.name in ENCODING_MODULES or 'engine_reports' in path.parts
            )
            assert is_exempt or not roots & ENCODINGS, path


def test_adapter_makes_no_decisions() -> None:
    """Guards against policy in the adapter.

    It may use neither time nor random numbers, nor modules that decide.
    """
    for path in ADAPTER.rglob('*.py'):
        for name in imports_of(path):
            assert name not in {'time', 'random'}
            assert not name.startswith(FORBIDDEN_IN_ADAPTER)
