"""A planned stop of an entry instance, told twice, with requests under way."""

import os
import signal
import socket
import tempfile
import threading
import time
import unittest
from itertools import count
from pathlib import Path
from random import Random

from .entry_process import EntryProcess
from .platform_standin import (
    StoreStandin,
    WorkerStandin,
    configuration,
    wait_for,
)

REQUEST = (
    b'POST /a/b HTTP/1.1\r\nHost: app\r\nX-Attempt-Id: %s\r\nX-Model: m\r\n'
    b'X-Deadline-Ms: 4000\r\nAuthorization: Bearer k\r\n'
    b'Content-Length: 2\r\n\r\n{}'
)
CALLERS = 8
EVENTS = 3


class Caller:
    """Sends requests in turn until the instance refuses connections.

    ``answers`` holds what has come for each request. A caller that keeps its
    connection uses it until the instance announces its end.
    """

    def __init__(self, entry: EntryProcess, number: int) -> None:
        host, _, port = entry.callers.rpartition(':')
        self.address = host, int(port)
        self.name = b'c%d' % number
        self.keeps = bool(number % 2)
        self.rng = Random(number)
        self.answers: dict[str, bytes] = {}
        self.sock: socket.socket | None = None
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        for number in count():
            attempt = b'%s-%d' % (self.name, number)
            try:
                sock = self.connection()
            except OSError:
                return
            self.answers[attempt.decode()] = answer = self.send(sock, attempt)
            if not (self.keeps and is_whole(answer) and not is_last(answer)):
                sock.close()
                self.sock = None
            time.sleep(self.rng.uniform(0, 0.05))

    def connection(self) -> socket.socket:
        if self.sock is None:
            self.sock = socket.create_connection(self.address, 5)
        return self.sock

    def send(self, sock: socket.socket, attempt: bytes) -> bytes:
        """Send a request, its head in two pieces; return what comes."""
        request = REQUEST % attempt
        answer = b''
        try:
            sock.sendall(request[:20])
            time.sleep(self.rng.uniform(0, 0.02))
            sock.sendall(request[20:])
            while not is_whole(answer):
                read = sock.recv(65536)
                if not read:
                    break
                answer += read
        except OSError:
            return answer
        return answer


def is_served(answer: bytes) -> bool:
    """Return whether a stream is complete."""
    is_ended = answer.endswith(b'0\r\n\r\n')
    return is_ended and answer.count(b'id: ') == EVENTS


def is_whole(answer: bytes) -> bool:
    """Return whether an answer is a complete stream or a refusal."""
    is_refusal = answer.startswith(b'HTTP/1.1 503') and answer.endswith(b'}')
    return is_refusal or is_served(answer)


def is_last(answer: bytes) -> bool:
    return b'connection: close' in answer.lower()


class ShutdownLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix='pomelogauge-')
        self.addCleanup(folder.cleanup)
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op', 'config', configuration(1, 'k'))
        self.workers = [WorkerStandin(f'w{at}', self.store) for at in range(2)]
        for worker in self.workers:
            self.addCleanup(worker.close)
        self.entry = EntryProcess('n1', Path(folder.name), self.store.address)
        self.addCleanup(self.entry.end)
        self.assertTrue(wait_for(self.entry.serves_requests))

    def signal(self) -> None:
        os.kill(self.entry.process.pid, signal.SIGTERM)

    def assert_none_cut(self, callers: list[Caller]) -> None:
        """Check that each request that a target got has its whole stream."""
        served = [attempt for each in self.workers for attempt in each.served]
        answers = {}
        for caller in callers:
            caller.thread.join(5)
            self.assertFalse(caller.thread.is_alive())
            answers.update(caller.answers)
        cut = {
            attempt: answer
            for attempt, answer in answers.items()
            if attempt in served and not is_served(answer)
        }
        self.print_log_of(cut)
        self.assertEqual(cut, {})
        self.assertGreater(len(answers), CALLERS)

    def print_log_of(self, attempts: dict[str, bytes]) -> None:
        for line in self.entry.log_records():
            if line.get('request') in attempts:
                print(line)

    def test_no_request_is_cut(self) -> None:
        self.stop_under_load(is_store_down=False)

    def test_no_request_is_cut_with_the_store_down(self) -> None:
        self.stop_under_load(is_store_down=True)

    def stop_under_load(self, *, is_store_down: bool) -> None:
        """Stop the instance, told twice, while callers send requests."""
        callers = [Caller(self.entry, number) for number in range(CALLERS)]
        for caller in callers:
            caller.thread.start()
        time.sleep(0.3)
        self.store.is_down = is_store_down
        self.signal()
        time.sleep(0.3)
        self.signal()
        self.assertEqual(self.entry.process.wait(9), 0)
        self.assert_none_cut(callers)


if __name__ == '__main__':
    unittest.main()
