"""Decodes the rows of targets in the platform's list and their reports."""

from ..model.fleet import (
    MembershipState,
    ReportedMembership,
    Target,
    TargetState,
)
from ..model.ids import (
    Address,
    DataCentreName,
    DomainName,
    Epoch,
    GroupName,
    ModelName,
    ServiceName,
    TargetName,
)
from ..model.store_version import StoreVersion
from .fields import Fields, read_fields

_MS_IN_S = 1000
_TARGET_STATES = frozenset(state.value for state in TargetState)
_MEMBERSHIP_STATES = frozenset(state.value for state in MembershipState)


def decode_target(
    name: str,
    text: bytes,
    version: StoreVersion,
    now_s: float,
) -> Target:
    """Decode the row of one target.

    Parameters
    ----------
    name
        Key of the row, which is the target's name.
    text
        Value of the row.
    version
        Version of the row.
    now_s
        Time of the local clock, from which the remaining cold time counts.

    Raises
    ------
    FindingsError
        The row is malformed; all findings together.

    """
    fields = read_fields(f'servers/{name}', text)
    cold_s = fields.number('cold_remaining_ms', 0) / _MS_IN_S
    target = Target(
        name=TargetName(name),
        service=ServiceName(_non_empty_text(fields, 'service')),
        address=_address(fields),
        data_centre=DataCentreName(_non_empty_text(fields, 'zone')),
        domain=DomainName(_domain(fields)),
        state=_state(fields),
        slots=fields.integer('slots'),
        cold_until_s=now_s + cold_s if cold_s else 0,
        started_at_ms=fields.integer('born', 0),
        staged=tuple(
            ModelName(model) for model in fields.list_of('staged', str)
        ),
        models=tuple(
            ModelName(model.text('name')) for model in fields.objects('models')
        ),
        membership=_membership(fields),
        version=version,
    )
    fields.check()
    return target


def decode_reported_membership(
    name: str, text: bytes
) -> ReportedMembership | None:
    """Decode the membership that a target reports to a probe.

    Returns ``None`` when the target is a member of no group.

    Parameters
    ----------
    name
        Name of the target, for the findings.
    text
        Body of the response, as JSON.

    Raises
    ------
    FindingsError
        The report is malformed; all findings together.

    """
    fields = read_fields(f'report of {name}', text)
    membership = _membership(fields)
    fields.check()
    return membership


def _non_empty_text(fields: Fields, name: str) -> str:
    text = fields.text(name)
    if not text:
        fields.add_finding(name, 'is empty, expected a name')
    return text


def _domain(fields: Fields) -> str:
    # The platform writes a domain as a string or as a number.
    if fields.is_number('domain'):
        return str(fields.integer('domain'))
    return fields.text('domain', '')


def _address(fields: Fields) -> Address:
    address = fields.text('address')
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        fields.add_finding('address', f'got {address!r}, expected host:port')
    return Address(address)


def _state(fields: Fields) -> TargetState:
    state = fields.text('state')
    if state in _TARGET_STATES:
        return TargetState(state)
    fields.add_finding(
        'state', f'got {state!r}, expected one of {sorted(_TARGET_STATES)}'
    )
    return TargetState.DRAINING


def _membership(fields: Fields) -> ReportedMembership | None:
    if not fields.has('group'):
        return None
    group = fields.nested('group')
    if not group.has('name'):
        return None
    state = group.text('state')
    if state not in _MEMBERSHIP_STATES:
        group.add_finding(
            'state',
            f'got {state!r}, expected one of {sorted(_MEMBERSHIP_STATES)}',
        )
        state = MembershipState.BROKEN
    return ReportedMembership(
        GroupName(group.text('name')),
        Epoch(group.integer('epoch')),
        group.integer('rank'),
        MembershipState(state),
    )
