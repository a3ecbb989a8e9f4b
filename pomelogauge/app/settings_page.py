"""Renders the page of all settings from their definitions."""

from collections.abc import Iterator

from .entry_settings import EntryOptions
from .operator_settings import DrainSettings, PublishSettings, StatusSettings
from .setting_fields import Definition, definitions
from .setting_options import bounds_text
from .setting_rules import ORDERINGS, ordering_message
from .settings import CommonSettings, ControllerSettings, RouterSettings

_INTRODUCTION = """\
# Settings

This page is generated: `pomelogauge settings-page > docs/settings.md`.

Every setting is given by a flag or by an environment variable; the flag goes \
first. An empty variable counts as not given. Durations are in seconds. All \
settings are checked together, and every finding is printed with its flag or \
variable; the exit code is then 2.
"""

_TABLE_HEAD = """\
| Flag | Variable | Default | Bounds | Meaning |
| --- | --- | --- | --- | --- |
"""


def render_settings_page() -> str:
    """Return the page in Markdown."""
    common = definitions(CommonSettings)
    sections = (
        _INTRODUCTION,
        _section('Router and controller', common),
        _section('Router', _own(RouterSettings, common)),
        _section('Controller', _own(ControllerSettings, common)),
        _section('Entry', definitions(EntryOptions)),
        _section('`publish`, `dc return`', definitions(PublishSettings)),
        _section('`dc drain`', definitions(DrainSettings)),
        _section('`status`', definitions(StatusSettings)),
        _orderings(),
    )
    return '\n'.join(sections)


def _own(
    record: type,
    common: tuple[Definition, ...],
) -> tuple[Definition, ...]:
    names = {definition.name for definition in common}
    return tuple(at for at in definitions(record) if at.name not in names)


def _section(title: str, rows: tuple[Definition, ...]) -> str:
    lines = '\n'.join(map(_row, rows))
    return f'## {title}\n\n{_TABLE_HEAD}{lines}\n'


def _row(definition: Definition) -> str:
    cells = (
        f'`{definition.flag}`',
        f'`{definition.variable}`',
        _default(definition),
        bounds_text(definition.hint),
        definition.hint.help,
    )
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _default(definition: Definition) -> str:
    if definition.required:
        return 'required'
    shown = definition.default_text
    return f'`{shown}`' if shown else ''


def _orderings() -> str:
    return '\n'.join(('## Checked together', '', *_ordering_lines(), ''))


def _ordering_lines() -> Iterator[str]:
    for rule in ORDERINGS:
        yield f'- {ordering_message(rule)}'
