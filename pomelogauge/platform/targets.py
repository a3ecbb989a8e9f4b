"""Decodes targets' entries in the platform's list."""

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
    RowVersion,
    ServiceName,
    TargetName,
)
from .fields import Fields, read_fields

_MS_IN_S = 1000
_STATES = frozenset(state.value for state in TargetState)
_SEAT_STATES = frozenset(state.value for state in MembershipState)


def decode_target(
    name: str,
    text: bytes,
    version: RowVersion,
    now_s: float,
) -> Target:
    """Decode one entry.

    Parameters
    ----------
    name
        Key of the row, which is the target's name.
    text
        Value of the row.
    version
        Version of the row.
    now_s
        Time of the own clock, from which the cold time counts.

    Raises
    ------
    FindingsError
        The entry names no usable target; all findings together.

    """
    fields = read_fields(f'servers/{name}', text)
    cold_s = fields.number('cold_remaining_ms', 0) / _MS_IN_S
    target = Target(
        name=TargetName(name),
        service=ServiceName(_some(fields, 'service')),
        address=_address(fields),
        data_centre=DataCentreName(_some(fields, 'zone')),
        domain=DomainName(_domain(fields)),
        state=_state(fields),
        slots=fields.integer('slots'),
        cold_until_s=now_s + cold_s if cold_s else 0,
        started_at_ms=fields.integer('born', 0),
        staged=tuple(ModelName(one) for one in fields.list_of('staged', str)),
        models=tuple(
            ModelName(model.text('name')) for model in fields.objects('models')
        ),
        membership=_seat(fields),
        version=version,
    )
    fields.check()
    return target


def decode_reported_membership(
    name: str, text: bytes
) -> ReportedMembership | None:
    """Decode the seat that a target reports when it is asked.

    Raises
    ------
    FindingsError
        The report has faults.

    """
    fields = read_fields(f'report of {name}', text)
    membership = _seat(fields)
    fields.check()
    return membership


def _some(fields: Fields, name: str) -> str:
    text = fields.text(name)
    if not text:
        fields.add_finding(name, 'is empty')
    return text


def _domain(fields: Fields) -> str:
    # The domain comes as a text or as a number.
    if fields.is_number('domain'):
        return str(fields.integer('domain'))
    return fields.text('domain', '')


def _address(fields: Fields) -> Address:
    address = fields.text('address')
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        fields.add_finding('address', 'is not host:port')
    return Address(address)


def _state(fields: Fields) -> TargetState:
    state = fields.text('state')
    if state in _STATES:
        return TargetState(state)
    fields.add_finding('state', f'{state!r} is no state')
    return TargetState.DRAINING


def _seat(fields: Fields) -> ReportedMembership | None:
    if not fields.has('group'):
        return None
    nested = fields.nested('group')
    if not nested.has('name'):
        return None
    state = nested.text('state')
    if state not in _SEAT_STATES:
        nested.add_finding('state', f'{state!r} is no state')
        state = MembershipState.BROKEN
    return ReportedMembership(
        GroupName(nested.text('name')),
        Epoch(nested.integer('epoch')),
        nested.integer('rank'),
        MembershipState(state),
    )
