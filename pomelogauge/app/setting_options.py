"""Turns settings records into options of the command line."""

import os
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import click

from .setting_fields import Definition, Hint, definitions
from .setting_rules import read_settings

CommandT = TypeVar('CommandT', bound=Callable[..., Any])
SettingsT = TypeVar('SettingsT')


def setting_options(record: type) -> Callable[[CommandT], CommandT]:
    """Return a decorator that adds the options of a settings record."""

    def decorate(command: CommandT) -> CommandT:
        for definition in reversed(definitions(record)):
            command = _option(definition)(command)
        return command

    return decorate


def parameters(record: type) -> list[click.Parameter]:
    """Return the options of a record whose environment is not read."""
    return [
        click.Option(
            [_declaration(definition)],
            **_attributes(definition, _notes(definition)),
        )
        for definition in definitions(record)
    ]


def settings_from(
    record: type[SettingsT],
    flags: Mapping[str, object],
    environment: Mapping[str, str] = os.environ,
) -> SettingsT:
    """Return the settings of a command.

    Parameters
    ----------
    record
        Settings record.
    flags
        Values that ``click`` passed to the command.
    environment
        Environment variables.

    Raises
    ------
    FindingsError
        Every finding with its flag or environment variable.

    """
    texts = {name: _text(flag) for name, flag in flags.items()}
    return read_settings(record, texts, environment)


def bounds_text(hint: Hint) -> str:
    """Return the bounds of a setting as text; empty for none."""
    return ', '.join(_bounds(hint))


def _bounds(hint: Hint) -> Iterator[str]:
    if hint.minimum is not None:
        word = 'above' if hint.exclusive else 'at least'
        yield f'{word} {hint.minimum:g}'
    if hint.maximum is not None:
        yield f'at most {hint.maximum:.12g}'


def _option(definition: Definition) -> Callable[[CommandT], CommandT]:
    notes = (*_notes(definition), definition.variable)
    return click.option(
        _declaration(definition), **_attributes(definition, notes)
    )


def _declaration(definition: Definition) -> str:
    if definition.kind is bool:
        off = definition.flag.replace('--', '--no-', 1)
        return f'{definition.flag}/{off}'
    return definition.flag


def _attributes(
    definition: Definition,
    notes: tuple[str, ...],
) -> dict[str, Any]:
    # click passes texts through; all settings are parsed and checked together
    # later, so that every finding is printed.
    joined = '; '.join(notes)
    shared = {'default': None, 'help': f'{definition.hint.help} [{joined}]'}
    if definition.kind is bool:
        return {**shared, 'is_flag': True}
    return {**shared, 'metavar': definition.kind.__name__.upper()}


def _notes(definition: Definition) -> tuple[str, ...]:
    notes = (_default(definition), bounds_text(definition.hint))
    return tuple(note for note in notes if note)


def _default(definition: Definition) -> str:
    if definition.required:
        return 'required'
    shown = definition.default_text
    return f'default {shown}' if shown else ''


def _text(flag: object) -> str | None:
    return None if flag is None else str(flag)
