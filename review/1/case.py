"""An entry machine is stopped as planned, while sound streams take some time."""

import signal
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from standins import (  # noqa: E402
    TROUBLE,
    Conn,
    Entry,
    Lab,
    Worker,
    configuration,
    now,
)

CONSUMERS = 24
#: The sheet's repair-quote: 27 events, pauses of up to 300 ms are on time, a
#: time budget of 8,000 ms. Here a pause is 170 ms, so an answer takes 4.6 s.
EVENTS = 27
PAUSE_S = 0.17
BUDGET_MS = 8000
#: Seconds from SIGTERM to the first and the last request of the consumers, who
#: keep the directory's answer three times as long as it says (6 s).
FIRST_S = 3.2
LAST_S = 3.7
#: The excuse of the rule: requests sent no later than this after SIGTERM.
EXCUSED_S = 3.0
GRACE_S = 8.0


class QuoteWorker(Worker):
    """A sound worker whose answers take some seconds."""

    def run(self, conn: Conn, attempt: str, life: int) -> None:
        """Stream the events of one answer."""
        if attempt.startswith('w'):
            self.stream(conn, attempt, life, 2)
            return
        conn.send_response_only(200)
        for name, value in self.head(attempt).items():
            conn.send_header(name.replace('_', '-'), value)
        conn.send_header('Content-Type', 'text/event-stream')
        conn.send_header('Transfer-Encoding', 'chunked')
        conn.end_headers()
        first = int(conn.headers.get('Last-Event-Id') or 0) + 1
        try:
            for number in range(first, EVENTS + 1):
                time.sleep(PAUSE_S)
                event = b'id: %d\ndata: %s\n\n' % (number, attempt.encode())
                conn.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
                conn.wfile.flush()
            conn.wfile.write(b'0\r\n\r\n')
            conn.wfile.flush()
            self.lab.record.line('worker is done with', attempt)
        except OSError:
            self.lab.record.line('worker was left by the machine at', attempt)
            raise


class Consumer:
    """A consumer with one kept channel."""

    def __init__(self, lab: Lab, entry: Entry) -> None:
        """Open the channel."""
        self.lab, self.entry = lab, entry
        host, _, port = entry.front.rpartition(':')
        self.sock = socket.create_connection((host, int(port)), 5)
        self.sock.settimeout(12)

    def ask(self, kind: str) -> tuple[str, int, bool, float, float]:
        """Return the attempt, its status, if it is whole, start and end."""
        attempt = self.lab.attempt(kind)
        sent_s = now()
        self.lab.record.line('sent', attempt, 'to', self.entry.name)
        status, is_whole = 0, False
        data = b''
        try:
            self.sock.sendall(
                b'POST /quote/x HTTP/1.1\r\nHost: app.example\r\n'
                b'X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n'
                b'Authorization: Bearer key-1\r\nX-Model: m1\r\n'
                b'X-Token-Counts: 1460,135\r\n'
                b'X-Prompt-Prefix: 5c1e07a2:40,%s:1420\r\n'
                b'Content-Length: 2\r\n\r\n{}'
                % (attempt.encode(), BUDGET_MS, attempt.encode().hex().encode())
            )
            while not is_whole:
                piece = self.sock.recv(65536)
                if not piece:
                    break
                data += piece
                is_whole = data.endswith(b'0\r\n\r\n') or (
                    b'"error"' in data and data.endswith(b'}')
                )
        except OSError as exc:
            self.lab.record.line('broken', attempt, type(exc).__name__)
        if data:
            status = int(data.split()[1])
        self.lab.record.line(
            'answered',
            attempt,
            status,
            'whole' if is_whole else 'cut',
            data.count(b'id: '),
            'events',
        )
        return attempt, status, is_whole, sent_s, now()


def main() -> int:
    """Play the case and return its exit code."""
    lab = Lab(FOLDER)
    try:
        return play(lab)
    finally:
        lab.close()


def open_heads(lab: Lab) -> int:
    """Return how many groups serve."""
    return sum(
        bool(worker.group)
        and not worker.group['rank']
        and worker.group['state'] == 'open'
        for worker in lab.workers.values()
    )


def play(lab: Lab) -> int:
    """Play the case and return its exit code."""
    config = configuration(1)
    config['routes'][0] |= {
        'timeout_ms': 8000,
        'target_latency_ms': 500,
        'gap_target_ms': 300,
    }
    lab.store.put('op', 'config', config)
    for number in range(12):
        domain = str(number // 4)
        QuoteWorker(
            lab, f'i-{number:04d}', 'quote-llm', 'kv-a', 13, domain, ('m1',)
        )
    entries = [Entry(lab, f'edge-kv-a-{n}', 'kv-a') for n in (1, 2)]
    for entry in entries:
        entry.start()
    if not lab.wait(
        lambda: open_heads(lab) == 3 and all(e.is_ready() for e in entries), 25
    ):
        print('could not run: the deployment is not ready')
        return 2
    time.sleep(4)
    stopped = entries[0]
    consumers = [Consumer(lab, stopped) for _ in range(CONSUMERS)]
    warm = [consumer.ask('w')[1] for consumer in consumers]
    time.sleep(4)
    term_s = now()
    lab.record.line('SIGTERM to', stopped.name, '' if TROUBLE else '(not sent)')
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
        threading.Thread(
            target=lambda: lab.record.line(
                'ended:', stopped.name, stopped.process.wait(GRACE_S + 2)
            ),
            daemon=True,
        ).start()
    seen: list[tuple[str, int, bool, float, float]] = []
    threads = []
    for number, consumer in enumerate(consumers):
        due_s = FIRST_S + (LAST_S - FIRST_S) * number / CONSUMERS
        time.sleep(max(0, term_s + due_s - now()))
        thread = threading.Thread(
            target=lambda one=consumer: seen.append(one.ask('q')), daemon=True
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join(14)
    ran = {attempt for _, attempt, _ in lab.runs}
    lost = [
        (sent_s - term_s, end_s - term_s)
        for attempt, _, is_whole, sent_s, end_s in seen
        if attempt in ran
        and not is_whole
        and sent_s - term_s > EXCUSED_S
        and end_s - sent_s < BUDGET_MS / 1000
        and end_s - term_s <= GRACE_S + 1
    ]
    whole = sum(one[1] == 200 and one[2] for one in seen)
    refused = sum(one[1] == 503 and one[2] for one in seen)
    times = (
        f', sent {min(s for s, _ in lost):.2f} to {max(s for s, _ in lost):.2f} '
        f's after SIGTERM, cut {min(e for _, e in lost):.2f} to '
        f'{max(e for _, e in lost):.2f} s after it'
        if lost
        else ''
    )
    verdict = (
        f'{warm.count(200)} of {CONSUMERS} consumers were served before; of '
        f'{len(seen)} requests on their kept channels {whole} answered whole, '
        f'{refused} refused with 503, {len(lost)} run and cut{times}; '
        f'LOST {"broken" if lost else "held"}'
    )
    lab.record.line(verdict)
    print(verdict)
    return int(bool(lost))


if __name__ == '__main__':
    sys.exit(main())
