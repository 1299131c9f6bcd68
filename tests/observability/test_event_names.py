"""Agreement between recorded events and the documented list."""

import ast
import inspect
import re
from collections.abc import Iterator
from pathlib import Path

import pollenloom
from pollenloom.configuration.publish_outcome import PublishDecision
from pollenloom.core.states import MoveState
from pollenloom.observability.event_name import EventName

SOURCE = Path(pollenloom.__file__).parent
ENTRY = re.compile(r'^ {4}([A-Z_]+): (.*(?:\n {5,}.*)*)', re.MULTILINE)


def find_record_calls() -> Iterator[ast.Call]:
    """Yield the calls in the source that record an event."""
    for path in SOURCE.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr == 'record'
                and ast.unparse(node.func.value).endswith(('events', 'self'))
            ):
                yield node


def event_name_literals(call: ast.Call) -> set[str]:
    """Return the string literals in the first argument of a call."""
    texts = [
        node.value
        for node in ast.walk(call.args[0])
        if isinstance(node, ast.Constant)
    ]
    # A literal that ends with an underscore is the prefix of a state name.
    return {
        text
        for text in texts
        if isinstance(text, str) and not text.endswith('_')
    }


def documented_fields() -> dict[str, str]:
    document = inspect.getdoc(EventName) or ''
    return {
        EventName[name].value: ' '.join(text.split()).rpartition(': ')[2]
        for name, text in ENTRY.findall(document)
    }


def test_every_recorded_event_is_listed() -> None:
    """Guards against an event or field that is renamed without notice.

    Alarms of operators use the documented names.
    """
    fields = documented_fields()
    assert fields.keys() == set(EventName)
    found = 0
    for call in find_record_calls():
        for name in event_name_literals(call):
            found += 1
            listed = fields[name].rstrip('.').split(', ')
            keywords = [word.arg for word in call.keywords]
            # Calls without keywords are in helpers that pass the fields on.
            if keywords:
                assert keywords == listed
    assert found >= 12


def test_names_built_from_states_are_listed() -> None:
    """Guards against a state without a documented event."""
    built = {f'move_{state.value}' for state in MoveState}
    built |= {f'publish_{decision.value}' for decision in PublishDecision}
    assert built <= set(EventName)
