"""Defines a setting once, for its flag, environment variable and page."""

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from enum import StrEnum
from typing import Any, get_type_hints

from ..model.errors import Finding, SourceLocation

VARIABLE_PREFIX = 'POMELOGAUGE_'
_HINT = 'setting'


@dataclass(frozen=True)
class TextFormat:
    """Form of a text and what a text in this form is called."""

    title: str
    pattern: str


@dataclass(frozen=True)
class Hint:
    """What a field tells of its setting besides name, type and default.

    Parameters
    ----------
    help
        One line with the unit.
    minimum, maximum
        Bounds of a number, both allowed; ``None`` for no bound.
    exclusive
        The minimum itself is not allowed.
    form
        Form of a text; ``None`` for any.

    """

    help: str = ''
    minimum: float | None = None
    maximum: float | None = None
    exclusive: bool = False
    form: TextFormat | None = None


def setting(hint: Hint, default: Any = MISSING) -> Any:
    """Return a dataclass field that defines a setting.

    Parameters
    ----------
    hint
        Help and bounds.
    default
        Value when not given; without one the setting is required.

    """
    return field(default=default, metadata={_HINT: hint})


@dataclass(frozen=True)
class Definition:
    """One setting of a settings record.

    Parameters
    ----------
    name
        Name of the field.
    kind
        Type of its value.
    default
        Value when not given; ``None`` when required.
    hint
        Help and bounds.

    """

    name: str
    kind: type
    default: Any
    hint: Hint

    @property
    def flag(self) -> str:
        """Flag of the command line."""
        dashed = self.name.replace('_', '-')
        return f'--{dashed}'

    @property
    def variable(self) -> str:
        """Environment variable."""
        return f'{VARIABLE_PREFIX}{self.name.upper()}'

    @property
    def default_text(self) -> str:
        """Default as it would be given; empty for none."""
        if isinstance(self.default, bool):
            return str(self.default).lower()
        return '' if self.default is None else str(self.default)

    @property
    def required(self) -> bool:
        """Whether a value must be given."""
        return self.default is None


@dataclass(frozen=True)
class GivenText:
    """The text of a setting and where it was given."""

    definition: Definition
    text: str
    location: SourceLocation


@dataclass(frozen=True)
class ParsedValues:
    """Values of settings, and what is wrong with the others.

    Parameters
    ----------
    values
        Valid values by field, defaults among them.
    findings
        Every setting that is missing, can't be read or is out of bounds.

    """

    values: Mapping[str, Any]
    findings: tuple[Finding, ...]


def definitions(record: type) -> tuple[Definition, ...]:
    """Return the settings of a settings record, in the order of its fields."""
    hints = get_type_hints(record)
    return tuple(_definition(at, hints[at.name]) for at in fields(record))


def find_texts(
    record: type,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Mapping[str, GivenText]:
    """Return the texts that were given, by field; a flag goes first."""
    values: dict[str, GivenText] = {}
    for definition in definitions(record):
        given = _find_text(definition, flags, environment)
        if given:
            values[definition.name] = given
    return values


def parse_values(
    record: type,
    given: Mapping[str, GivenText],
) -> ParsedValues:
    """Parse the texts that were given and collect every finding."""
    findings: list[Finding] = []
    values: dict[str, Any] = {}
    for definition in definitions(record):
        text = given.get(definition.name)
        if text:
            values.update(_parse(text, findings))
        elif definition.required:
            findings.append(_missing(definition))
        else:
            values[definition.name] = definition.default
    return ParsedValues(values, tuple(findings))


def _definition(at: 'Field[Any]', kind: Any) -> Definition:
    # A NewType names the type that it was made from.
    kind = getattr(kind, '__supertype__', kind)
    default = None if at.default is MISSING else at.default
    return Definition(at.name, kind, default, at.metadata.get(_HINT, Hint()))


def _find_text(
    definition: Definition,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> GivenText | None:
    text = flags.get(definition.name)
    if text is not None:
        return GivenText(definition, text, SourceLocation(definition.flag))
    # An empty variable counts as not given, as shells make it hard to unset.
    text = environment.get(definition.variable)
    if text:
        return GivenText(definition, text, SourceLocation(definition.variable))
    return None


def _missing(definition: Definition) -> Finding:
    message = f'is required (or set {definition.variable})'
    return Finding(SourceLocation(definition.flag), message)


def _parse(given: GivenText, findings: list[Finding]) -> Mapping[str, Any]:
    definition = given.definition
    try:
        values = _parser(definition.kind)(given.text)
    except ValueError as exc:
        findings.append(Finding(given.location, str(exc)))
        return {}
    faults = tuple(_faults(definition.hint, values))
    findings.extend(Finding(given.location, fault) for fault in faults)
    return {} if faults else {definition.name: values}


def _parser(kind: type) -> Callable[[str], Any]:
    parsers: Mapping[type, Callable[[str], Any]] = {
        bool: _parse_bool,
        int: _parse_int,
        float: _parse_float,
        str: str,
    }
    if issubclass(kind, StrEnum):
        return _choice_parser(kind)
    return parsers[kind]


def _parse_bool(text: str) -> bool:
    choices = {'true': True, '1': True, 'false': False, '0': False}
    if text.lower() not in choices:
        raise ValueError(f'{text!r} is neither true nor false')
    return choices[text.lower()]


def _parse_int(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ValueError(f'{text!r} is no whole number') from None


def _parse_float(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise ValueError(f'{text!r} is no number') from None


def _choice_parser(kind: type[StrEnum]) -> Callable[[str], StrEnum]:
    def parse(text: str) -> StrEnum:
        try:
            return kind(text)
        except ValueError:
            choices = ', '.join(kind)
            raise ValueError(f'{text!r} is none of {choices}') from None

    return parse


def _faults(hint: Hint, values: Any) -> Iterator[str]:
    if isinstance(values, bool):
        return
    if isinstance(values, str):
        yield from _form_faults(hint, values)
    else:
        yield from _bound_faults(hint, values)


def _form_faults(hint: Hint, text: str) -> Iterator[str]:
    if hint.form and not re.fullmatch(hint.form.pattern, text):
        yield f'{text!r} is no {hint.form.title}'


def _bound_faults(hint: Hint, number: float) -> Iterator[str]:
    minimum, maximum = hint.minimum, hint.maximum
    # The comparisons are negated so that NaN fails them.
    if minimum is not None and hint.exclusive and not number > minimum:
        yield f'{number:g} must be above {minimum:g}'
    elif minimum is not None and not number >= minimum:
        yield f'{number:g} must be at least {minimum:g}'
    if maximum is not None and not number <= maximum:
        yield f'{number:g} must be at most {maximum:g}'
