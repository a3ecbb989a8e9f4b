"""Decodes the settings file of an entry instance."""

from dataclasses import dataclass
from pathlib import Path

from ..model.errors import Finding, FindingsError, SourceLocation
from ..model.ids import Address, DataCentreName, NodeName
from .fields import Fields, read_fields

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'POMELOGAUGE_SETTINGS'
_MS_IN_S = 1000
#: Milliseconds within which changes must take effect where the settings state
#: nothing else.
_APPLY_MS = 2000
#: Processor cores of an instance whose settings don't state them.
_UNKNOWN_CORES = 1.0


@dataclass(frozen=True)
class EntryBounds:
    """Limits that the platform sets for an entry instance.

    Parameters
    ----------
    revoke_s
        Age of the configuration, in seconds, beyond which no key may be
        accepted, so that a revoked key is refused in time.
    apply_s
        Seconds within which a change of the configuration, or a target that
        leaves, must take effect.
    grace_s
        Seconds from SIGTERM to SIGKILL.
    stall_s
        Seconds after which a group breaks that has lost a member.
    retry_share
        Retries that each request of a service adds to its retry budget.
    retry_slack
        Reserve of the retry budget: retries that are allowed beyond that
        share, of all entry instances together.
    retry_window_s
        Seconds over which requests and retries are counted.

    """

    revoke_s: float
    apply_s: float
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
        Identifier of the instance, unique among all entry instances.
    data_centre
        Data centre in which the instance runs.
    callers, readiness, directory
        ``host:port`` to listen on for callers, for the platform's readiness
        checks and for directory requests; empty where it does not listen.
    peers
        ``host:port`` to listen on for the other entry instances.
    store
        ``host:port`` of the platform's store.
    is_first_start
        The whole system starts for the first time, so that the start-up grace
        period applies.
    bounds
        Limits that the platform sets.
    cores
        Processor cores that the instance may use.

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
    cores: float


def read_settings(path: str) -> EntrySettings:
    """Read and check the settings file.

    Raises
    ------
    FindingsError
        The file can't be read or is malformed; all findings together.

    """
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        raise FindingsError([Finding(SourceLocation(path), str(exc))]) from exc
    return decode_settings(path, text)


def decode_settings(source: str, text: bytes) -> EntrySettings:
    """Decode settings.

    Parameters
    ----------
    source
        Name of the file, for the findings.
    text
        Content of the file, as JSON.

    Raises
    ------
    FindingsError
        The text is malformed; all findings together.

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
        cores=_cores(fields),
    )
    fields.check()
    return settings


def _cores(fields: Fields) -> float:
    if not fields.has('limits'):
        return _UNKNOWN_CORES
    limits = fields.nested('limits')
    # The share is that of one core.
    return limits.number('cpu_share', 1) * limits.number('cpu_cores', 1)


def _address(fields: Fields, name: str) -> Address:
    address = fields.text(name)
    _, _, port = address.rpartition(':')
    if address and not port.isdecimal():
        fields.add_finding(name, f'got {address!r}, expected host:port')
    return Address(address)


def _peers(fields: Fields) -> Address:
    # Instances use one port among themselves: the first.
    ports = fields.list_of('internal_ports', int)
    if not ports:
        fields.add_finding(
            'internal_ports', 'is empty, expected at least one port'
        )
        return Address('')
    return Address(f'{fields.text("ip")}:{ports[0]}')


def _bounds(fields: Fields) -> EntryBounds:
    return EntryBounds(
        revoke_s=fields.number('revoke_ms') / _MS_IN_S,
        apply_s=min(
            fields.number('config_apply_ms', _APPLY_MS),
            fields.number('drain_ms', _APPLY_MS),
        )
        / _MS_IN_S,
        grace_s=fields.number('grace_s'),
        stall_s=fields.number('stall_ms') / _MS_IN_S,
        retry_share=fields.number('retry_budget_ratio'),
        retry_slack=fields.number('retry_budget_slack'),
        retry_window_s=fields.number('budget_window_s'),
    )
