"""What the commands do that change the configuration."""

import logging
from random import Random

from ..charts.reader import load_chart
from ..decide.data_centre_chart import DATA_CENTRE_WORDS
from ..decide.publication import DataCentreChange
from ..decide.readiness import Readiness
from ..model.errors import UserError
from ..model.ids import ConfigVersion
from ..model.manifest import Configuration, Manifest
from ..tables.configuration_store import ConfigurationStore
from ..tasks.clock import MonotonicClock
from .await_version import VersionWait, wait_in_force
from .configuration_push import push_configuration
from .connections import Connections
from .drain_notice import DrainNotice, wait_for_capacity
from .operator_settings import PublishSettings
from .peer_finder import QueriedPeer, given_peers, listed_peers
from .publish import publish_change, publish_manifest

_log = logging.getLogger(__name__)


class Publisher:
    """Publishes, tells peers and waits, for one command.

    Parameters
    ----------
    to
        How the command reaches the platform and peers.
    cfg
        Settings of the command.

    """

    def __init__(self, to: Connections, cfg: PublishSettings) -> None:
        """Find the peers before anything is published."""
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._platform = to.platform(cfg.platform, cfg.platform_timeout_s)
        self._store = ConfigurationStore(self._platform)
        self._links = to.links(cfg.peer_timeout_s)
        self._peers = self._find_peers()

    def publish(self, manifest: Manifest) -> Configuration:
        """Publish a checked manifest as the next version.

        Raises
        ------
        UserError
            Another operator was first, or the platform failed.

        """
        return self._told(
            publish_manifest(self._store, manifest, self._cfg.publisher_name)
        )

    def change(self, change: DataCentreChange) -> Configuration:
        """Take one data centre out, or bring it back.

        Raises
        ------
        UserError
            The data centre is unknown, too many publications were first, or
            the platform failed.

        """
        chart = load_chart('data_centre', DATA_CENTRE_WORDS)
        return self._told(
            publish_change(self._store, change, chart, self._cfg.publisher_name)
        )

    def wait_for_capacity(
        self,
        prepared: Configuration,
        notice_s: float,
    ) -> tuple[Readiness, ...]:
        """Return what is not ready once all is ready or the notice is over."""
        notice = DrainNotice(self._links, self._peers, self._clock, notice_s)
        return wait_for_capacity(notice, prepared)

    def wait_in_force(self, version: ConfigVersion, limit_s: float) -> None:
        """Return once every live process reports a version.

        Raises
        ------
        UserError
            A process had not reported the version in time.

        """
        waiting = VersionWait(self._links, self._peers, self._clock, limit_s)
        wait_in_force(waiting, version)

    def _find_peers(self) -> tuple[QueriedPeer, ...]:
        peers = given_peers(self._cfg.peer_addresses)
        if peers:
            return peers
        try:
            return listed_peers(self._platform)
        except UserError as exc:
            if self._cfg.wait:
                # Nothing is published that can't be awaited.
                raise
            # Processes read the version from the store by themselves.
            _log.info('publish: nobody is told: %s', exc)
            return ()

    def _told(self, published: Configuration) -> Configuration:
        push_configuration(self._links, self._peers, published, Random())
        return published
