"""A loopback proxy that delays, silences, cuts one way or resets."""

import selectors
import socket
import struct
import threading
import time
from contextlib import suppress
from enum import StrEnum

CHUNK = 65536
LOOK_S = 0.05
CONNECT_S = 2.0
#: Makes a close send a reset.
RESET = struct.pack('ii', 1, 0)


class Mode(StrEnum):
    """What becomes of bytes; ``FORWARD`` is the way to the server."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    NO_FORWARD = 'no_forward'
    NO_BACKWARD = 'no_backward'


class Pair:
    """Two joined connections, carried by one thread."""

    def __init__(self, proxy: 'Proxy', near: socket.socket) -> None:
        self.proxy = proxy
        self.near = near
        self.far: socket.socket | None = None
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        host, _, port = self.proxy.upstream.rpartition(':')
        with suppress(OSError):
            self.far = socket.create_connection((host, int(port)), CONNECT_S)
            self.carry(self.near, self.far)
        self.close()

    def carry(self, near: socket.socket, far: socket.socket) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(near, selectors.EVENT_READ, Mode.NO_FORWARD)
            selector.register(far, selectors.EVENT_READ, Mode.NO_BACKWARD)
            while True:
                for key, _ in selector.select(LOOK_S):
                    sender = key.fileobj
                    other = far if sender is near else near
                    if not self.pass_on(sender, other, key.data):
                        return

    def pass_on(
        self, sender: socket.socket, other: socket.socket, blocked: Mode
    ) -> bool:
        while self.proxy.mode in {Mode.SILENT, blocked}:
            time.sleep(LOOK_S)
            if self.proxy.closed or sender.fileno() < 0:
                return False
        piece = sender.recv(CHUNK)
        if not piece:
            return False
        if self.proxy.mode is Mode.DELAY:
            time.sleep(self.proxy.delay_s)
        other.sendall(piece)
        return True

    def reset(self) -> None:
        for sock in (self.near, self.far):
            if sock is not None:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self) -> None:
        for sock in (self.near, self.far):
            if sock is not None:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
                sock.close()
        self.proxy.pairs.discard(self)


class Proxy:
    """Listens before one server."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.closed = False
        self.pairs: set[Pair] = set()
        self.server = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = f'127.0.0.1:{self.server.getsockname()[1]}'
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with suppress(OSError):
            while True:
                near, _ = self.server.accept()
                self.pairs.add(Pair(self, near))

    def reset(self) -> None:
        """Reset all connections that are open."""
        for pair in tuple(self.pairs):
            pair.reset()

    def heal(self) -> None:
        self.mode = Mode.PASS
        self.delay_s = 0

    def close(self) -> None:
        self.closed = True
        self.server.close()
        self.reset()
