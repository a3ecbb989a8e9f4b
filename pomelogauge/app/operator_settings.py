"""Settings of the operators' commands."""

import getpass
from dataclasses import dataclass

from ..model.ids import Address
from .setting_fields import Hint, TextFormat, setting
from .settings import address_hint, period_hint

_PEERS_HELP = (
    'Addresses of peers for gRPC, host:port, separated by commas; '
    "empty takes those of the platform's list."
)
_NOTICE_HELP = (
    'Longest time in which capacity is made ready elsewhere first, in seconds; '
    '0 drains at once.'
)
_MAX_NOTICE_S = 86400

_PEERS = TextFormat(
    'list of host:port, separated by commas',
    r'([^\s:/,]+:[0-9]{1,5}(\s*,\s*|$))*',
)


@dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Settings of the commands that ask the platform."""

    platform: Address = setting(address_hint('Address of the platform'))
    platform_timeout_s: float = setting(
        period_hint('Deadline of a call to the platform'), 2.0
    )


@dataclass(frozen=True, kw_only=True)
class PeersSettings:
    """Settings of the commands that ask peers."""

    peers: str = setting(Hint(_PEERS_HELP, form=_PEERS), '')
    peer_timeout_s: float = setting(
        period_hint('Deadline of a call to a peer'), 1.0
    )

    @property
    def peer_addresses(self) -> tuple[Address, ...]:
        """The addresses, in the order given."""
        texts = (text.strip() for text in self.peers.split(','))
        return tuple(Address(text) for text in texts if text)


@dataclass(frozen=True, kw_only=True)
class PublishSettings(PlatformSettings, PeersSettings):
    """Settings of the commands that change the configuration."""

    publisher: str = setting(
        Hint('Who publishes; empty takes the name of the user.'), ''
    )
    wait: bool = setting(
        Hint('Return once every live process has the version in force.'), False
    )
    wait_limit_s: float = setting(
        period_hint('Time after which waiting fails'), 10.0
    )

    @property
    def publisher_name(self) -> str:
        """Name that the loser of a race is told."""
        return self.publisher or getpass.getuser()


@dataclass(frozen=True, kw_only=True)
class DrainSettings(PublishSettings):
    """Settings of the command that takes a data centre out."""

    notice: float = setting(
        Hint(_NOTICE_HELP, 0, _MAX_NOTICE_S),
        0.0,
    )


@dataclass(frozen=True, kw_only=True)
class StatusSettings(PeersSettings):
    """Settings of the command that prints the status of peers."""

    platform: str = setting(
        Hint('Address of the platform, host:port, whose list names the peers.'),
        '',
    )
    platform_timeout_s: float = setting(
        period_hint('Deadline of a call to the platform'), 2.0
    )
    allow_silent: bool = setting(
        Hint('End with code 0 although a peer does not answer.'), False
    )
