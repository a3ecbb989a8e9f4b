"""Wires the listening sockets of an entry instance."""

import socket
from dataclasses import dataclass
from random import Random

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
    """Makes the listeners for callers and for the HTTP pages.

    Parameters
    ----------
    cfg
        Addresses to listen on.
    own
        Description of this instance, shown on the directory page.
    metrics_port
        Port of the metrics page, on the host of the readiness page.
    ports
        Outboxes and shared state of the callers' tasks.

    """

    cfg: EntrySettings
    own: EntryInstance
    metrics_port: int
    ports: RequestPorts

    def listeners(self) -> tuple[Listener, ...]:
        """Listen on all addresses, on that for callers last.

        Raises
        ------
        ListenError
            An address is in use or invalid.

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
            self.own,
            ports.published_fleet,
            ports.leaving,
            PageTranslator(),
            Random(),
        )
        host = cfg.readiness.rpartition(':')[0]
        metrics = Address(f'{host}:{self.metrics_port}')
        return (
            Listener(cfg.readiness, _pages(ready)),
            Listener(cfg.directory, _pages(directory)),
            Listener(metrics, _pages(MetricsPage(ports.metrics))),
            Listener(cfg.callers, lambda sock: CallerTask(sock, ports)),
        )


def _pages(handler: PageHandler) -> ConnectionTasks:
    def task(sock: socket.socket) -> PageTask:  # noqa: WPS430
        return PageTask(sock, handler)

    return task
