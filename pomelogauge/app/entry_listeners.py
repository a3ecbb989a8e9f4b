"""Wires what an entry instance listens on."""

import socket
from dataclasses import dataclass

from ..entry.caller_task import CallerTask
from ..entry.listener import ConnectionTasks, Listener
from ..entry.pages import (
    DirectoryPage,
    MetricsPage,
    PageHandler,
    PageTask,
    ReadyPage,
)
from ..entry.request_ports import RequestPorts
from ..model.fleet import EntryInstance
from ..model.ids import Address
from ..platform.pages import PageTranslator
from ..platform.settings import EntrySettings


@dataclass(frozen=True)
class EntryListeners:
    """Callers, and those who ask for pages.

    Parameters
    ----------
    cfg
        The platform's settings.
    own
        This instance.
    metrics_port
        Port of the metrics page.
    ports
        Whom the callers' tasks talk to.

    """

    cfg: EntrySettings
    own: EntryInstance
    metrics_port: int
    ports: RequestPorts

    def listeners(self) -> tuple[Listener, ...]:
        """Listen on all addresses; callers come last.

        Raises
        ------
        ListenError
            An address can't be listened on.

        """
        cfg = self.cfg
        ports = self.ports
        ready = ReadyPage(
            ports.published_fleet,
            ports.leaving,
            ports.bounds.key_age_s,
            ports.clock,
        )
        directory = DirectoryPage(
            self.own, ports.published_fleet, ports.leaving, PageTranslator()
        )
        host = cfg.readiness.rpartition(':')[0]
        metrics = Address(f'{host}:{self.metrics_port}')
        return (
            Listener(cfg.readiness, _pages(ready)),
            Listener(cfg.directory, _pages(directory)),
            Listener(metrics, _pages(MetricsPage(ports.metrics))),
            Listener(cfg.callers, lambda sock: CallerTask(sock, ports)),
        )


def _pages(maker: PageHandler) -> ConnectionTasks:
    def task(sock: socket.socket) -> PageTask:  # noqa: WPS430
        return PageTask(sock, maker)

    return task
