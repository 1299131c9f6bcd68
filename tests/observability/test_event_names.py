"""Failures of the list of event names."""

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


def calls() -> Iterator[ast.Call]:
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


def literals(call: ast.Call) -> set[str]:
    """Return the names that the first argument writes out."""
    texts = [
        node.value
        for node in ast.walk(call.args[0])
        if isinstance(node, ast.Constant)
    ]
    # Names that end with an underscore are completed by a state.
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
    """Guards against alarms on a name that changed without notice."""
    fields = documented_fields()
    assert fields.keys() == set(EventName)
    found = 0
    for call in calls():
        for name in literals(call):
            found += 1
            listed = fields[name].rstrip('.').split(', ')
            keywords = [word.arg for word in call.keywords]
            # Without keywords it is a helper that adds them.
            if keywords:
                assert keywords == listed
    assert found >= 12


def test_names_made_of_states_are_listed() -> None:
    """Guards against a state without its event."""
    made = {f'move_{state.value}' for state in MoveState}
    made |= {f'publish_{decision.value}' for decision in PublishDecision}
    assert made <= set(EventName)
