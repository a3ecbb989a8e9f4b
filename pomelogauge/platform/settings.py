"""Decodes the settings file of a process."""

from dataclasses import dataclass
from pathlib import Path

from ..model.errors import Finding, FindingsError, SourceLocation
from ..model.ids import Address, DataCentreName, NodeName
from .fields import Fields, read_fields

#: Variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'POMELOGAUGE_SETTINGS'
_MS_IN_S = 1000


@dataclass(frozen=True)
class EntryBounds:
    """Times within which the platform's rules must hold.

    Parameters
    ----------
    revoke_s
        Age of the configuration beyond which no key may be used.
    grace_s
        Seconds from SIGTERM to SIGKILL.
    stall_s
        Seconds after which a group without one of its members breaks.
    retry_share
        Repeats that each request of a service pays for.
    retry_slack
        Repeats beyond that, of all entry instances together.
    retry_window_s
        Span in which the repeats are counted.

    """

    revoke_s: float
    grace_s: float
    stall_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float


@dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry instance.

    Parameters
    ----------
    node
        Name of the instance.
    data_centre
        Where it stands.
    callers, readiness, directory
        ``host:port`` to listen on for callers, for the platform's checks and
        for callers that ask where to connect; empty where it does not serve.
    peers
        ``host:port`` for the other entry instances.
    store
        ``host:port`` of the platform's store.
    is_first_start
        The whole system starts for the first time.
    bounds
        Times and shares of the rules.

    """

    node: NodeName
    data_centre: DataCentreName
    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    store: Address
    is_first_start: bool
    bounds: EntryBounds


def read_settings(path: str) -> EntrySettings:
    """Read and check the settings file.

    Raises
    ------
    FindingsError
        The file can't be read or has faults; all findings together.

    """
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        raise FindingsError([Finding(SourceLocation(path), str(exc))]) from exc
    return decode_settings(path, text)


def decode_settings(source: str, text: bytes) -> EntrySettings:
    """Decode settings.

    Raises
    ------
    FindingsError
        The text has faults; all findings together.

    """
    fields = read_fields(source, text)
    listen = fields.nested('listen_addrs')
    settings = EntrySettings(
        node=NodeName(fields.text('node_name')),
        data_centre=DataCentreName(fields.text('zone')),
        callers=_address(listen, 'frontend'),
        readiness=_address(listen, 'ready'),
        directory=_address(listen, 'directory'),
        peers=_peers(fields),
        store=_address(fields.nested('platform'), 'address'),
        is_first_start=fields.flag('bootstrap'),
        bounds=_bounds(fields.nested('bounds')),
    )
    fields.check()
    return settings


def _address(fields: Fields, name: str) -> Address:
    address = fields.text(name)
    _, _, port = address.rpartition(':')
    if address and not port.isdecimal():
        fields.add_finding(name, 'is not host:port')
    return Address(address)


def _peers(fields: Fields) -> Address:
    ports = fields.list_of('internal_ports', int)
    if not ports:
        fields.add_finding('internal_ports', 'is empty')
        return Address('')
    return Address(f'{fields.text("ip")}:{ports[0]}')


def _bounds(fields: Fields) -> EntryBounds:
    return EntryBounds(
        revoke_s=fields.number('revoke_ms') / _MS_IN_S,
        grace_s=fields.number('grace_s'),
        stall_s=fields.number('stall_ms') / _MS_IN_S,
        retry_share=fields.number('retry_budget_ratio'),
        retry_slack=fields.number('retry_budget_slack'),
        retry_window_s=fields.number('budget_window_s'),
    )
