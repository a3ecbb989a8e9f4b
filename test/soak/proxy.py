"""Loopback TCP proxy that delays, blocks or resets connections."""

import selectors
import socket
import struct
import threading
import time
from contextlib import suppress
from enum import StrEnum

CHUNK = 65536
POLL_INTERVAL_S = 0.05
CONNECT_S = 2.0
#: SO_LINGER of zero seconds, with which a close sends RST.
RESET = struct.pack('ii', 1, 0)


class Mode(StrEnum):
    """Treatment of bytes; ``FORWARD`` is the direction to the server."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    NO_FORWARD = 'no_forward'
    NO_BACKWARD = 'no_backward'


class ProxiedConnection:
    """A client connection and its upstream, relayed by one thread."""

    def __init__(self, proxy: 'Proxy', client: socket.socket) -> None:
        self.proxy = proxy
        self.client = client
        self.server_socket: socket.socket | None = None
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        host, _, port = self.proxy.upstream.rpartition(':')
        # A reset by the test may close the sockets at any moment.
        with suppress(OSError, ValueError):
            self.server_socket = socket.create_connection(
                (host, int(port)), CONNECT_S
            )
            self.relay(self.client, self.server_socket)
        self.close()

    def relay(
        self, client: socket.socket, server_socket: socket.socket
    ) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(client, selectors.EVENT_READ, Mode.NO_FORWARD)
            selector.register(
                server_socket, selectors.EVENT_READ, Mode.NO_BACKWARD
            )
            while True:
                for key, _ in selector.select(POLL_INTERVAL_S):
                    sender = key.fileobj
                    other = server_socket if sender is client else client
                    if not self.forward(sender, other, key.data):
                        return

    def forward(
        self, sender: socket.socket, other: socket.socket, blocked: Mode
    ) -> bool:
        while self.proxy.mode in {Mode.SILENT, blocked}:
            time.sleep(POLL_INTERVAL_S)
            if self.proxy.closed or sender.fileno() < 0:
                return False
        chunk = sender.recv(CHUNK)
        if not chunk:
            return False
        if self.proxy.mode is Mode.DELAY:
            time.sleep(self.proxy.delay_s)
        other.sendall(chunk)
        return True

    def reset(self) -> None:
        for sock in (self.client, self.server_socket):
            if sock is not None:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self) -> None:
        for sock in (self.client, self.server_socket):
            if sock is not None:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
                sock.close()
        self.proxy.connections.discard(self)


class Proxy:
    """Proxy in front of one server."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.closed = False
        self.connections: set[ProxiedConnection] = set()
        self.server = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = f'127.0.0.1:{self.server.getsockname()[1]}'
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with suppress(OSError):
            while True:
                client, _ = self.server.accept()
                self.connections.add(ProxiedConnection(self, client))

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in tuple(self.connections):
            connection.reset()

    def restore(self) -> None:
        self.mode = Mode.PASS
        self.delay_s = 0

    def close(self) -> None:
        self.closed = True
        self.server.close()
        self.reset()
