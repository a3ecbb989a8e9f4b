"""Reads settings records and checks the rules between their values."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ..model.errors import Finding, FindingsError, SourceLocation
from .setting_fields import GivenText, find_texts, parse_values


@dataclass(frozen=True)
class Ordering:
    """Rule that one setting times a factor is less than another."""

    smaller: str
    larger: str
    factor: float = 1


ORDERINGS = (
    Ordering('renewal_s', 'lease_term_s', factor=2),
    Ordering('gossip_interval_s', 'cut_off_after_s', factor=2),
    Ordering('pull_interval_s', 'cut_off_after_s'),
    Ordering('peer_timeout_s', 'cut_off_after_s'),
    # An order must not take effect after another controller has taken over
    # the lease.
    Ordering('order_timeout_s', 'lease_margin_s'),
    Ordering('exchange_interval_s', 'grant_life_s', factor=2),
    Ordering('watch_interval_s', 'lost_after_s', factor=2),
    Ordering('watch_timeout_s', 'lost_after_s'),
)

SettingsT = TypeVar('SettingsT')


def read_settings(
    record: type[SettingsT],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> SettingsT:
    """Return the settings of a daemon.

    Parameters
    ----------
    record
        Settings record to fill.
    flags
        Texts of the flags by field name; ``None`` when not given.
    environment
        Environment variables.

    Raises
    ------
    FindingsError
        Every finding with its flag or environment variable.

    """
    given = find_texts(record, flags, environment)
    parsed = parse_values(record, given)
    findings = (*parsed.findings, *_ordering_findings(parsed.values, given))
    if findings:
        raise FindingsError(findings)
    return record(**parsed.values)


def _ordering_findings(
    values: Mapping[str, Any],
    given: Mapping[str, GivenText],
) -> Iterator[Finding]:
    for rule in ORDERINGS:
        if rule.smaller not in values or rule.larger not in values:
            continue
        if values[rule.smaller] * rule.factor >= values[rule.larger]:
            yield Finding(_location(rule, given), ordering_message(rule))


def _location(rule: Ordering, given: Mapping[str, GivenText]) -> SourceLocation:
    for name in (rule.smaller, rule.larger):
        if name in given:
            return given[name].location
    return SourceLocation(rule.smaller)


def ordering_message(rule: Ordering) -> str:
    """Return the rule as a sentence, for findings and the settings page."""
    times = f'{rule.factor:g} times ' if rule.factor > 1 else ''
    return f'{times}{rule.smaller} must be below {rule.larger}'
