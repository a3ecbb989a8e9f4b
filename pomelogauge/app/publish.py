"""Publishes configurations for operators and waits until they are in force."""

from collections.abc import Iterator

from returns.pipeline import is_successful

from ..decide.publication import (
    DrainChange,
    apply_change,
    apply_manifest,
    is_done,
    is_known,
    lagging,
)
from ..model.errors import UserError
from ..model.ids import NO_VERSION, Address, ConfigVersion
from ..model.manifest import Configuration, Manifest
from ..model.peers import NodeReport
from ..platform.configuration_store import (
    ConfigurationStore,
    LostRace,
    PublishError,
)
from ..platform.protocols import PlatformError, PlatformFault
from ..tasks.clock import Clock
from ..tasks.links import PeerLinks
from ..tasks.mailbox import Mailbox

#: Publications that one command tries while other operators publish.
_MAX_TRIES = 10

#: Seconds between questions to peers while waiting.
_ASK_INTERVAL_S = 0.1


def publish_manifest(
    store: ConfigurationStore,
    manifest: Manifest,
    publisher: str,
) -> Configuration:
    """Publish a checked manifest as the next version.

    Raises
    ------
    UserError
        Another operator was first, or the platform failed.

    """
    newest = _newest(store) or Configuration(NO_VERSION)
    wanted = apply_manifest(manifest, newest, publisher)
    published = store.publish(wanted, newest.version)
    if is_successful(published):
        return published.unwrap()
    raise _refused(published.failure())


def publish_change(
    store: ConfigurationStore,
    change: DrainChange,
    publisher: str,
) -> Configuration:
    """Drain or return one data centre.

    When another operator was first, the change is applied to what that
    operator published, as both concern different things.

    Returns
    -------
    Configuration
        What is published; nothing new if it was as wanted already.

    Raises
    ------
    UserError
        The data centre is unknown, too many publications were first, or
        the platform failed.

    """
    base = _base(store, change)
    for _ in range(_MAX_TRIES):
        if is_done(change, base):
            return base
        wanted = apply_change(change, base, publisher)
        published = store.publish(wanted, base.version)
        if is_successful(published):
            return published.unwrap()
        error = published.failure()
        if not isinstance(error, LostRace):
            raise _refused(error)
        base = _base(store, change)
    raise UserError(f'{_MAX_TRIES} other publications were first; try again')


def wait_in_force(
    links: PeerLinks,
    peers: tuple[Address, ...],
    version: ConfigVersion,
    clock: Clock,
    limit_s: float,
) -> None:
    """Return once every live process reports a version.

    Parameters
    ----------
    links
        Links to peers.
    peers
        Peers to ask; they name the other live processes.
    version
        Version that shall be in force.
    clock
        Measures the limit.
    limit_s
        Seconds after which waiting fails.

    Raises
    ------
    UserError
        A process had not reported the version in time.

    """
    until_s = clock.now_s() + limit_s
    pause: Mailbox[None] = Mailbox()
    late = _late(links, peers, version)
    while late:
        if clock.now_s() >= until_s:
            named = ', '.join(late)
            raise UserError(f'version {version} is not in force at {named}')
        pause.take(_ASK_INTERVAL_S)
        late = _late(links, peers, version)


def _late(
    links: PeerLinks,
    peers: tuple[Address, ...],
    version: ConfigVersion,
) -> tuple[str, ...]:
    silent: list[str] = []
    reports: list[NodeReport] = []
    for address in peers:
        found = tuple(_reports(links, address))
        reports.extend(found)
        if not found:
            silent.append(f'{address} (no answer)')
    return (*silent, *lagging(reports, version))


def _reports(links: PeerLinks, address: Address) -> Iterator[NodeReport]:
    status = links.status(address)
    if is_successful(status):
        yield status.unwrap().sender
        for view in status.unwrap().peers:
            yield view.report


def _newest(store: ConfigurationStore) -> Configuration | None:
    newest = store.newest()
    if is_successful(newest):
        return newest.unwrap()
    raise _refused(newest.failure())


def _base(store: ConfigurationStore, change: DrainChange) -> Configuration:
    base = _newest(store)
    if base is None:
        raise UserError('no configuration is published yet')
    if not is_known(change, base):
        raise UserError(f'data centre {change.data_centre} is unknown')
    return base


def _refused(error: PublishError) -> UserError:
    if isinstance(error, LostRace):
        return UserError(f'not published: {error} was first; check it')
    return UserError(_platform_message(error))


def _platform_message(error: PlatformError) -> str:
    if error.fault is PlatformFault.UNSETTLED:
        return (
            'may have been published, look before publishing again: '
            f'{error.message}'
        )
    return f'platform {error.fault}: {error.message}'
