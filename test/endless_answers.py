"""Answers that never end, for targets and the store."""

import socket
import time

from .request_fixtures import Script, chunk

PIECE = b'x' * 65536
PLAIN_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Starts of answers that never end, each with the piece that is repeated.
ENDLESS_ANSWERS = {
    'status line': (b'HTTP/1.1 200 ', PIECE),
    'header': (b'HTTP/1.1 200 OK\r\nX-A: ', PIECE),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 999),
    'interim answers': (b'', INTERIM * 99),
    'interim answers to continue': (b'', CONTINUE * 99),
    'chunks': (PLAIN_HEAD + CHUNKED, chunk(PIECE)),
    'body to the end of the connection': (PLAIN_HEAD + b'\r\n', PIECE),
    'chunk size': (PLAIN_HEAD + CHUNKED, b'0' * 65536),
    'chunk extension': (PLAIN_HEAD + CHUNKED + b'1;', PIECE),
    'trailers': (PLAIN_HEAD + CHUNKED + b'0\r\n', b'X-A: b\r\n' * 999),
    'length': (PLAIN_HEAD + b'Content-Length: 99999999999\r\n\r\n', PIECE),
}
#: Seconds between two pieces of a slow answer, and their number.
DRIP_INTERVAL_S = 0.1
DRIP_COUNT = 60
#: Starts of answers of which a piece follows now and then only.
SLOW_ANSWERS = {
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'header': (b'HTTP/1.1 200 OK\r\nX-A: ', b'x'),
    'interim answers to continue': (b'', CONTINUE),
    'body': (PLAIN_HEAD + b'Content-Length: 999\r\n\r\n', b'x'),
    'chunks': (PLAIN_HEAD + CHUNKED, chunk(b'x')),
}


def endless(start: bytes, piece: bytes) -> Script:
    """Return a script that sends a start and then a piece until it is cut."""

    def respond(sock: socket.socket, received: bytes) -> None:
        sock.settimeout(10)
        try:
            sock.sendall(start)
            while True:
                sock.sendall(piece)
        except OSError:
            return

    return respond


def slow(start: bytes, piece: bytes) -> Script:
    """Return a script that sends a start and then a piece now and then."""

    def respond(sock: socket.socket, received: bytes) -> None:
        try:
            sock.sendall(start)
            for _ in range(DRIP_COUNT):
                time.sleep(DRIP_INTERVAL_S)
                sock.sendall(piece)
        except OSError:
            return

    return respond
