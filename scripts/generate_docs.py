"""Generates configuration.md, errors.md and events.md in docs from the code.

Needs `src` in PYTHONPATH. With --check it writes nothing and exits with 1 if a
page is out of date.
"""

import inspect
import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import get_args

from pydantic import BaseModel

from pollenloom.configuration.account_entry import AccountEntry
from pollenloom.configuration.move_entry import MoveEntry
from pollenloom.configuration.route_entry import RouteEntry
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.console.exit_code import ExitCode
from pollenloom.core.error_responses import ERROR_RESPONSES
from pollenloom.observability.event_name import EventName
from pollenloom.settings.node_settings import NodeSettings
from pollenloom.settings.router_settings import RouterSettings
from pollenloom.validation.field_schema import (
    Schema,
    describe_schema,
    model_schema,
    resolve,
)

ROOT = Path(__file__).resolve().parent.parent
NOTICE = (
    '<!-- Made by scripts/generate_docs.py from the code; edit the docstrings'
    ' there. -->'
)
SERVICE_MODELS: tuple[tuple[str, type[BaseModel]], ...] = (
    ('Top level', ServiceFile),
    ('`[[accounts]]`', AccountEntry),
    ('`[[routes]]`', RouteEntry),
    ('`[move]`', MoveEntry),
)
ATTRIBUTE = re.compile(r'^ {4}(\w+): (.*(?:\n {5,}.*)*)', re.MULTILINE)


def settings_models(
    settings: type[BaseModel],
) -> Iterator[tuple[str, type[BaseModel]]]:
    """Yield titles and models: the top level of settings, then each section."""
    yield 'Top level', settings
    for name, field in settings.model_fields.items():
        # An optional section is a union with None.
        for section in (field.annotation, *get_args(field.annotation)):
            if isinstance(section, type) and issubclass(section, BaseModel):
                yield f'`[{name}]`', section


def attribute_texts(model: type) -> dict[str, str]:
    """Return the texts under `Attributes:` in the docstring, by name."""
    document = inspect.getdoc(model) or ''
    _, _, attributes = document.partition('Attributes:')
    return {
        name: ' '.join(text.split())
        for name, text in ATTRIBUTE.findall(attributes)
    }


def describe_entries(root: Schema, schema: Schema, key: str) -> str:
    """Return the values that a key accepts, and those of a list's entries."""
    text = describe_schema(schema, key)
    entry = resolve(root, schema.get('items', {}))
    if not entry or entry.get('type') == 'object':
        return text
    return f'{text}; each {describe_schema(entry, key)}'


def describe_default(model: type[BaseModel], key: str, field: Schema) -> str:
    """Return the default in TOML form, `required`, or `none` without one."""
    if key in model_schema(model).get('required', ()):
        return 'required'
    default = field.get('default')
    if isinstance(default, bool):
        return f'`{str(default).lower()}`'
    if isinstance(default, int | float | str):
        return f'`{default!r}`'
    return 'none'


def model_table(model: type[BaseModel]) -> Iterator[str]:
    """Yield the lines of a table with one row for each key of a model."""
    texts = attribute_texts(model)
    names = {
        field.alias or name: name for name, field in model.model_fields.items()
    }
    root = model_schema(model)
    yield '| key | value | default | meaning |'
    yield '|---|---|---|---|'
    for key, field in root['properties'].items():
        expected = describe_entries(root, resolve(root, field), key)
        default = describe_default(model, key, field)
        yield f'| `{key}` | {expected} | {default} | {texts[names[key]]} |'


def configuration_page() -> str:
    """Return the reference of service files, router and node settings."""
    lines = [
        '# Configuration',
        '',
        NOTICE,
        '',
        'All files are TOML 1.0 in UTF-8. Unknown keys are errors. Check',
        'files with `pollenloom check`; examples are in `examples/`.',
        '',
        '## Service files',
        '',
        'One `pollenloom.toml` beside each service. `pollenloom publish`',
        'collects the files below the given directories; together they',
        'replace the configuration in force on all routers.',
        '',
        'Across all files, a service has one file and a key hash belongs to',
        'one client account. A new shutdown date must be in the future, and',
        'a move must finish before it.',
    ]
    for title, model in SERVICE_MODELS:
        lines.extend(('', f'### {title}', '', *model_table(model)))
    lines.extend(
        (
            '',
            '## Router settings',
            '',
            'One file for each router, read at its start. Relative paths',
            'start at the directory of the file.',
        )
    )
    for title, model in settings_models(RouterSettings):
        lines.extend(('', f'### {title}', '', *model_table(model)))
    lines.extend(
        (
            '',
            "## Settings of a node on the users' machines",
            '',
            'For `pollenloom node`. The platform fills in',
            '`src/pollenloom/platform/node.template.toml`; the file is read',
            'again after SIGHUP and when it changes.',
        )
    )
    for title, model in settings_models(NodeSettings):
        lines.extend(('', f'### {title}', '', *model_table(model)))
    return '\n'.join(lines) + '\n'


def errors_page() -> str:
    """Return the tables of error kinds and exit codes."""
    lines = [
        '# Errors',
        '',
        NOTICE,
        '',
        'Refusals and failures have problem details (RFC 9457) as their body,',
        'with the members `kind` and `run`. `run` is `no` if certainly no',
        'backend server ran the request, else `unknown`. Where `retry` is yes,',
        'the same request may succeed later.',
        '',
        '| kind | HTTP status | run | retry | meaning |',
        '|---|---|---|---|---|',
    ]
    for kind, response in ERROR_RESPONSES.items():
        retry = 'yes' if response.retryable else 'no'
        lines.append(
            f'| `{kind.value}` | {response.status.value}'
            f' | `{response.run.value}` | {retry} | {response.title} |'
        )
    texts = attribute_texts(ExitCode)
    lines.extend(
        (
            '',
            '## Exit codes',
            '',
            'The same for all commands of `pollenloom`.',
            '',
            '| code | meaning |',
            '|---|---|',
            *(f'| {code.value} | {texts[code.name]} |' for code in ExitCode),
        )
    )
    return '\n'.join(lines) + '\n'


def events_page() -> str:
    """Return the table of event names."""
    lines = [
        '# Events',
        '',
        NOTICE,
        '',
        'Routers write each event as one JSON line to their log and keep the',
        'latest 20,000 in memory for `pollenloom explain <subject>` and',
        '`GET /events?subject=<id>`. Names and fields are stable.',
        '',
        '| event | meaning | subject | fields |',
        '|---|---|---|---|',
    ]
    texts = attribute_texts(EventName)
    for event in EventName:
        meaning, _, details = texts[event.name].rpartition(' Subject ')
        subject, _, fields = details.rstrip('.').partition(': ')
        lines.append(f'| `{event.value}` | {meaning} | {subject} | {fields} |')
    return '\n'.join(lines) + '\n'


def main() -> int:
    """Write or check the pages; return 1 if a check finds an outdated one."""
    pages = {
        'configuration.md': configuration_page,
        'errors.md': errors_page,
        'events.md': events_page,
    }
    outdated = []
    for name, make_page in pages.items():
        path = ROOT / 'docs' / name
        text = make_page()
        if path.exists() and path.read_text(encoding='utf-8') == text:
            continue
        outdated.append(name)
        if '--check' not in sys.argv:
            path.write_text(text, encoding='utf-8')
    sys.stdout.write(f'out of date: {", ".join(outdated) or "none"}\n')
    return 1 if outdated and '--check' in sys.argv else 0


if __name__ == '__main__':
    sys.exit(main())
