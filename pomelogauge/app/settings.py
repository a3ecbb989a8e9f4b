"""Settings of the daemons, given by flags and environment variables."""

from dataclasses import dataclass

from ..model.ids import Address, DataCentreName, NodeName
from .log_level import LogLevel
from .setting_fields import Hint, TextFormat, setting

_MAX_PORT = 65535
_MAX_PERIOD_S = 3600
_MAX_THREADS = 4096
_MIB = 1 << 20
_GIB = 1 << 30
_NAME = TextFormat(
    'name of letters, digits and ._-', '[A-Za-z0-9][A-Za-z0-9._-]*'
)
_ADDRESS = TextFormat('address host:port', r'[^\s:/]+:[0-9]{1,5}')


def period_hint(text: str) -> Hint:
    """Return the hint of a duration above 0 and of at most 3600 s."""
    return Hint(f'{text}, in seconds.', 0, _MAX_PERIOD_S, exclusive=True)


def address_hint(text: str) -> Hint:
    """Return the hint of an address in the format ``host:port``."""
    return Hint(f'{text}, host:port.', form=_ADDRESS)


def _port(text: str) -> Hint:
    return Hint(f'{text}; 0 takes any free port.', 0, _MAX_PORT)


def _count(text: str, maximum: int) -> Hint:
    return Hint(text, 1, maximum)


@dataclass(frozen=True, kw_only=True)
class CommonSettings:
    """Settings that routers and controllers share.

    Every field is explained by its help text, which the command line and
    the settings page show.
    """

    node: NodeName = setting(Hint('Name of this process.', form=_NAME))
    data_centre: DataCentreName = setting(
        Hint('Data centre that this process stands in.', form=_NAME)
    )
    region: str = setting(Hint('Region of the data centre.'), '')
    platform: Address = setting(address_hint('Address of the platform'))
    listen: str = setting(Hint('IP number to listen on.'), '127.0.0.1')
    peer_port: int = setting(_port('Port for gRPC from peers'), 0)
    advertise: str = setting(
        Hint('IP number that others connect to; empty takes --listen.'), ''
    )
    renewal_s: float = setting(period_hint('Time between lease renewals'), 0.5)
    lease_term_s: float = setting(period_hint('Life of a lease'), 2.0)
    lease_margin_s: float = setting(
        period_hint('Time that a taker waits beyond the life of a lease'), 1.0
    )
    gossip_interval_s: float = setting(
        period_hint('Time between gossip to peers'), 0.5
    )
    exchange_interval_s: float = setting(
        period_hint('Time between exchanges of a router with a controller'),
        0.25,
    )
    platform_timeout_s: float = setting(
        period_hint('Deadline of a call to the platform'), 2.0
    )
    pull_interval_s: float = setting(
        period_hint('Time between reads of the configuration'), 1.0
    )
    peer_timeout_s: float = setting(
        period_hint('Deadline of a call to a peer'), 1.0
    )
    cut_off_after_s: float = setting(
        period_hint(
            'Time without a confirmed configuration before new work stops'
        ),
        2.5,
    )
    log_level: LogLevel = setting(
        Hint('Least severe log records written: debug, info, warning, error.'),
        LogLevel.INFO,
    )
    trace_file: str = setting(
        Hint('File for traces; empty for none, - for standard error.'), ''
    )
    allow_cuts: bool = setting(
        Hint('Let tests cut the links of this process.'), False
    )

    @property
    def advertised_host(self) -> str:
        """Host that others connect to."""
        return self.advertise or self.listen


@dataclass(frozen=True, kw_only=True)
class RouterSettings(CommonSettings):
    """Settings of a router."""

    port: int = setting(_port('Port for HTTP from callers'), 0)
    worker_threads: int = setting(
        _count('Requests served at once, in threads.', _MAX_THREADS), 192
    )
    entry_ttl_s: float = setting(
        period_hint('Time that callers may keep an entry address'), 2.0
    )
    max_body_bytes: int = setting(
        _count('Longest body of a request, in bytes.', _GIB), _MIB
    )
    queue_limit: int = setting(
        _count('Requests that wait at once, in requests.', _MIB), 512
    )
    shutdown_limit_s: float = setting(
        period_hint('Time that a graceful shutdown waits for requests'), 30.0
    )
    header_timeout_s: float = setting(
        period_hint('Deadline for the headers of a request'), 10.0
    )
    tls_cert: str = setting(
        Hint('File with the certificate for HTTPS; empty for HTTP.'), ''
    )
    tls_key: str = setting(Hint('File with the key of the certificate.'), '')


@dataclass(frozen=True, kw_only=True)
class ControllerSettings(CommonSettings):
    """Settings of a controller."""

    http_port: int = setting(_port('Port for health and metrics'), 0)
    watch_interval_s: float = setting(
        period_hint('Time between reads of the status of an engine'), 0.25
    )
    watch_timeout_s: float = setting(
        period_hint('Deadline of a read of the status of an engine'), 0.5
    )
    lost_after_s: float = setting(
        period_hint('Silence after which an engine counts as lost'), 1.0
    )
    grant_life_s: float = setting(
        period_hint('Life of a grant of capacity'), 1.5
    )
    order_timeout_s: float = setting(
        period_hint('Deadline of an order to an engine'), 0.5
    )
