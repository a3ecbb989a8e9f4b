"""Stand-ins of the platform, and the entry processes, for the review's scripts.

Standard library only. All addresses are loopback addresses; each part has one
of its own in 127.0.0.0/8, so that the ports of the deploy file are free.
"""

import base64
import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BLOCK = f'127.{random.randint(16, 239)}.{random.randint(1, 254)}'
#: The bounds of the site tapakbaik-router, as its sheet states them.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'back_ms': 250,
    'max_stretch_ms': 5000,
    'revoke_strict': True,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_budget_slack': 134,
    'cold_overshoot': 1.5,
    'cold_slack': 5,
    'evacuate_ms': 5000,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'stall_ms': 6000,
    'fencing_enforced': False,
    'ceiling_window_s': 5,
    'load_overshoot': 1.1,
    'ttl_max_s': 5,
}
STARTED = time.monotonic()


def now() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._lock = threading.Lock()

    def line(self, *words: object) -> None:
        """Write one line with the time."""
        with self._lock:
            print(f'{now():8.3f}', *words, file=self._file, flush=True)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: object, client: object) -> None:
        """Ignore peers that close early."""


class Conn(BaseHTTPRequestHandler):
    """One connection to a stand-in."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *args: object) -> None:
        """Write no access log."""

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        try:
            self.server.owner.serve(self, body)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = _serve

    def reply(self, status: int, body: object = None, **headers: str) -> None:
        """Answer with JSON, or with bytes as they are."""
        data = (
            body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        )
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name.replace('_', '-'), value)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class Standin:
    """HTTP server at an address of its own; subclasses define ``serve``."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.server = _Server((host, port), Conn)
        self.server.owner = self
        self.address = f'{host}:{self.server.server_port}'
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def stop_listening(self) -> None:
        """Refuse further channels."""
        self.server.shutdown()
        self.server.server_close()


class Store(Standin):
    """The platform's store: rows, feeds and transactions. Linearizable."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.history: list[dict] = []
        self.version = 0
        self.changed = threading.Condition()
        super().__init__(f'{BLOCK}.1')

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a worker; ``None`` removes it."""
        with self.changed:
            self.version += 1
            body = None if value is None else json.dumps(value).encode()
            self._write(table, key, body)
            self.changed.notify_all()

    def _write(self, table: str, key: str, body: bytes | None) -> None:
        row = {'table': table, 'part': '', 'key': key, 'ver': self.version}
        if body is None:
            self.rows.pop((table, key), None)
            row['tombstone'] = True
        else:
            row['value'] = base64.b64encode(body).decode()
            self.rows[table, key] = row
        self.history.append(row)

    def serve(self, conn: Conn, body: bytes) -> None:
        """Answer one call."""
        time.sleep(0.004)
        parts = urlsplit(conn.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == '/rows-tx':
            status, answer = self._transact(json.loads(body))
        elif parts.path == '/rows-get':
            status, answer = 200, self._get(query)
        else:
            status, answer = 200, self._feed(query)
        answer['now_ms'] = int(now() * 1000)
        conn.reply(status, answer, Store_Era='1')

    def _get(self, query: dict[str, str]) -> dict:
        with self.changed:
            rows = sorted(
                (
                    row
                    for (table, key), row in self.rows.items()
                    if table == query['table']
                    and key >= query.get('from', '')
                    and key < query.get('target', '\U0010ffff')
                ),
                key=lambda row: row['key'].encode(),
            )
            limit = min(500, int(query.get('limit', 500)))
            return {
                'rows': rows[:limit],
                'truncated': len(rows) > limit,
                'ver': self.version,
            }

    def _feed(self, query: dict[str, str]) -> dict:
        after, table = int(query['after_rev']), query['table']
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        with self.changed:
            while True:
                rows = []
                for row in reversed(self.history):
                    if row['ver'] <= after:
                        break
                    if row['table'] == table:
                        rows.append(row)
                left = until - time.monotonic()
                if rows or left <= 0:
                    return {'rows': rows[::-1], 'ver': self.version}
                self.changed.wait(left)

    def _transact(self, call: dict) -> tuple[int, dict]:
        with self.changed:
            for row in call.get('expected_rev', ()):
                found = self.rows.get((row['table'], row['key']))
                if (found['ver'] if found else 0) != row['ver']:
                    return 412, {
                        'rows': [found] if found else [],
                        'ver': self.version,
                    }
            self.version += 1
            for row in call.get('set_keys', ()):
                self._write(
                    row['table'], row['key'], base64.b64decode(row['value'])
                )
            for row in call.get('remove', ()):
                self._write(row['table'], row['key'], None)
            self.changed.notify_all()
            return 200, {'ver': self.version}


class Worker(Standin):
    """A sound worker: registers itself, takes orders, runs requests.

    ``peers`` are the workers by id. ``run`` may be replaced for a worker in
    trouble.
    """

    def __init__(
        self,
        lab: 'Lab',
        name: str,
        service: str,
        zone: str,
        slots: int,
        domain: str = '',
        staged: tuple[str, ...] = (),
    ) -> None:
        self.lab = lab
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.domain, self.staged = slots, domain, list(staged)
        self.group: dict | None = None
        self.model = ''
        self.last_model = ''
        self.epoch = 0
        self.sequence = 0
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.running = 0
        self.life = 0
        self.alive = True
        self.lock = threading.RLock()
        super().__init__(lab.host())
        lab.workers[name] = self
        self.publish()

    def says(self) -> dict:
        """Return what the worker says of itself, in the list and a report."""
        group = self.group and {
            key: self.group[key] for key in ('name', 'epoch', 'rank', 'state')
        }
        said = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
            'stage': 'unified',
            'busy': False,
            'models': [{'name': self.model, 'version': 1, 'adapters': []}]
            if self.model
            else [],
        }
        if self.domain:
            said |= {
                'domain': self.domain,
                'staged': self.staged,
                'group': group,
            }
        return said

    def publish(self) -> None:
        """Write the own entry to the list of workers."""
        if self.alive:
            self.lab.store.put('servers', self.name, self.says())

    def serve(self, conn: Conn, body: bytes) -> None:
        """Answer one call."""
        if not self.alive:
            conn.close_connection = True
            return
        expected = conn.headers.get('X-Expect-Instance')
        if expected not in (None, self.name):
            conn.reply(421, X_Instance_Id=self.name, At_Server=self.name)
        elif conn.path == '/report':
            conn.reply(
                200,
                self.says()
                | {
                    'queue_depth': 0,
                    'in_flight': self.running,
                    'kv_used': 0,
                    'kv_total': 700000,
                    'kv_handles': 0,
                    'pace': 1.0,
                },
            )
        elif conn.path == '/health':
            conn.reply(200, X_Instance_Id=self.name)
        elif conn.path == '/order':
            conn.reply(self.order(json.loads(body)))
        else:
            self.request(conn, body)

    def order(self, order: dict) -> int:
        """Carry out an order as the pages say; return the status."""
        with self.lock:
            kind = order['operation']
            if kind == 'stage':
                self.sequence += 1
                self.lab.later(2.0, self._stage, order['model'], self.life)
                return 202
            if kind == 'join':
                if order['epoch'] < self.epoch:
                    return 412
                self.sequence += 1
                self.epoch = order['epoch']
                self.group = {
                    'name': order['group'],
                    'epoch': order['epoch'],
                    'rank': order['members'].index(self.name),
                    'state': 'joining',
                    'model': order['model'],
                    'members': order['members'],
                }
                took_s = 1.1 if order['model'] in self.staged else 12.0
                if order['model'] == self.last_model:
                    took_s = 0.2
                self.model = ''
                self.lab.later(took_s, self._joined, self.group, self.life)
                self.publish()
                return 202
            group = self.group
            if not group or (group['name'], group['epoch']) != (
                order['group'],
                order['epoch'],
            ):
                return 409
            if kind == 'open':
                if group['state'] == 'open':
                    return 200
                if group['rank'] or group['state'] != 'ready':
                    return 409
                self.sequence += 1
                self.lab.later(0.3, self._opened, group, self.life)
                return 202
            if kind == 'close':
                self.sequence += 1
                group['state'] = 'ready'
                self.publish()
                return 202
            if kind == 'leave':
                self.sequence += 1
                self.group, self.model = None, ''
                self.publish()
                return 202
            return 400

    def _stage(self, model: str, life: int) -> None:
        with self.lock:
            if life == self.life:
                self.staged = [model]
                self.publish()

    def _joined(self, group: dict, life: int) -> None:
        with self.lock:
            if life == self.life and self.group is group:
                group['state'] = 'ready'
                self.model = self.last_model = group['model']
                self.publish()

    def _opened(self, group: dict, life: int) -> None:
        with self.lock:
            if life == self.life and self.group is group:
                group['state'] = 'open'
                self.publish()

    def crash(self, back_s: float | None) -> None:
        """Drop all channels; start again under the same id after a time."""
        with self.lock:
            self.alive = False
            self.life += 1
            self.group, self.model, self.last_model = None, '', ''
            self.epoch = self.sequence = self.running = 0
        if back_s is not None:
            self.lab.later(back_s, self.restart)

    def restart(self) -> None:
        """Start again under the same id, with nothing of before."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.alive = True
            self.publish()

    def request(self, conn: Conn, body: bytes) -> None:
        """Admit a request by the slots and the state, and run it."""
        attempt = conn.headers.get('X-Attempt-Id', '')
        with self.lock:
            is_head = not self.domain or (
                self.group
                and not self.group['rank']
                and self.group['state'] == 'open'
            )
            has_slot = self.running < 2 * self.slots
            life = self.life
            if is_head and has_slot:
                self.running += 1
        if not is_head or not has_slot:
            status = 503 if is_head or not self.group else 421
            self.lab.record.line('rejected', attempt, 'at', self.name, status)
            conn.reply(
                status,
                X_Not_Executed='1',
                X_Attempt_Id=attempt,
                At_Server=self.name,
            )
            return
        self.lab.record.line('run', attempt, 'at', self.name)
        self.lab.runs.append((now(), attempt, self.name))
        try:
            self.run(conn, attempt, life)
        finally:
            with self.lock:
                if life == self.life:
                    self.running -= 1

    def head(self, attempt: str) -> dict[str, str]:
        """Return the headers of all answers to requests."""
        return {
            'X_Attempt_Id': attempt,
            'X_Response_Stamp': f'{self.name}.{attempt}',
            'X_Instance_Load': f'{self.running},0,{self.slots}',
        }

    def run(self, conn: Conn, attempt: str, life: int) -> None:
        """Answer: a stream of a few events by a head, else 800 bytes."""
        if self.domain:
            self.stream(conn, attempt, life)
            return
        time.sleep(0.03)
        conn.reply(200, b'x' * 800, **self.head(attempt))

    def stream(
        self, conn: Conn, attempt: str, life: int, events: int = 10
    ) -> None:
        """Answer with a stream of events."""
        conn.send_response_only(200)
        for name, value in self.head(attempt).items():
            conn.send_header(name.replace('_', '-'), value)
        conn.send_header('Content-Type', 'text/event-stream')
        conn.send_header('Transfer-Encoding', 'chunked')
        time.sleep(0.05)
        conn.end_headers()
        first = int(conn.headers.get('Last-Event-Id') or 0) + 1
        for number in range(first, events + 1):
            time.sleep(0.05)
            if life != self.life:
                conn.close_connection = True
                return
            event = b'id: %d\ndata: %s\n\n' % (number, attempt.encode())
            conn.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
            conn.wfile.flush()
        conn.wfile.write(b'0\r\n\r\n')
        conn.wfile.flush()


class Entry:
    """One entry machine: the process that the deploy file names."""

    def __init__(
        self, lab: 'Lab', name: str, zone: str, store: str = ''
    ) -> None:
        self.name = name
        self.host = lab.host()
        self.front = f'{self.host}:8227'
        self.ready = f'{self.host}:8220'
        self.directory = f'{self.host}:8224'
        self.settings = lab.folder / f'{name}.json'
        self.log = lab.folder / f'{name}.log'
        self.process: subprocess.Popen | None = None
        self.fields = {
            'node_name': name,
            'role': 'entry',
            'machine_class': 'edge',
            'serves': ['edge', 'registry'],
            'ip': self.host,
            'zone': zone,
            'region': 'klang-valley',
            'zones': dict.fromkeys(('kv-a', 'kv-b', 'kv-c'), 'klang-valley'),
            'listen_addrs': {
                'frontend': self.front,
                'ready': self.ready,
                'directory': self.directory,
            },
            'internal_ports': [7340, 7355],
            'seed_nodes': [],
            'bootstrap': True,
            'tolerance_member': False,
            'limits': {
                'cpu_share': 0.537,
                'cpu_cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'registry',
            'heartbeat_ms': 1200,
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS | lab.bounds,
            'platform': {
                'address': store or lab.store.address,
                'form': 'table',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'tx_ms': 3.0,
                'part_writes_s': 300,
                'row_bytes': 65536,
                'across': True,
                'history_s': 20,
                'blob_bytes': 8388608,
                'blob_ms': 25.0,
                'blob_mb_s': 80.0,
            },
        }
        lab.entries.append(self)

    def start(self) -> None:
        """Start the process with the settings file."""
        self.settings.write_text(json.dumps(self.fields))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        kept = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=kept
                | {
                    'POMELOGAUGE_SETTINGS': str(self.settings),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def get(
        self, address: str, path: str, timeout_s: float = 1.0
    ) -> tuple[int, bytes]:
        """Return the status and body of a page; status 0 without an answer."""
        host, _, port = address.rpartition(':')
        conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            conn.request('GET', path)
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b''
        finally:
            conn.close()

    def is_ready(self) -> bool:
        """Return whether the readiness page says 200."""
        return self.get(self.ready, '/ready')[0] == 200

    def memory_mb(self) -> tuple[float, float]:
        """Return the resident memory of the process, and its peak, in MB."""
        with suppress(OSError):
            text = Path(f'/proc/{self.process.pid}/status').read_text()
            found = {
                line.split(':')[0]: int(line.split()[1]) / 1024
                for line in text.splitlines()
                if line.startswith(('VmRSS', 'VmHWM'))
            }
            return found.get('VmRSS', 0), found.get('VmHWM', 0)
        return 0, 0


class Answer:
    """What a consumer saw of one attempt."""

    def __init__(
        self, status: int, headers: dict, body: bytes, whole: bool
    ) -> None:
        self.status, self.headers = status, headers
        self.body, self.whole = body, whole


class Lab:
    """One small deployment; ``close`` ends all processes that it started."""

    def __init__(self, folder: Path, **bounds: object) -> None:
        self.record = Record(folder)
        self.bounds = bounds
        self.workers: dict[str, Worker] = {}
        self.entries: list[Entry] = []
        self.runs: list[tuple[float, str, str]] = []
        self._hosts = iter(range(2, 255))
        self._attempts = iter(range(1, 10_000_000))
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._folder.name)
        self.store = Store()
        self.is_over = False
        # The time limit of run.sh must not leave processes behind.
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    def host(self) -> str:
        """Return another loopback address."""
        return f'{BLOCK}.{next(self._hosts)}'

    def later(self, delay_s: float, step: object, *args: object) -> None:
        """Call a function after a time."""
        timer = threading.Timer(delay_s, step, args)
        timer.daemon = True
        timer.start()

    def attempt(self, kind: str = 'a') -> str:
        """Return a new attempt id."""
        return f'{kind}{next(self._attempts):06x}'

    def send(
        self,
        entry: Entry,
        method: str,
        path: str,
        kind: str = 'a',
        body: bytes = b'{}',
        budget_ms: int = 6000,
        **headers: str,
    ) -> Answer:
        """Send one attempt over a new channel, and record what came."""
        attempt = self.attempt(kind)
        host, _, port = entry.front.rpartition(':')
        conn = http.client.HTTPConnection(
            host, int(port), timeout=budget_ms / 1000 + 1
        )
        sent = {
            'Host': 'app.example',
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': str(budget_ms),
            'Authorization': 'Bearer key-1',
        } | {name.replace('_', '-'): value for name, value in headers.items()}
        self.record.line(
            'sent',
            attempt,
            method,
            path,
            'to',
            entry.name,
            headers.get('X_Prompt_Prefix', ''),
        )
        answer = Answer(0, {}, b'', False)
        try:
            conn.request(method, path, body if method != 'GET' else None, sent)
            got = conn.getresponse()
            answer = Answer(got.status, dict(got.getheaders()), b'', False)
            answer.body = got.read()
            answer.whole = True
        except (OSError, http.client.HTTPException) as exc:
            self.record.line('broken', attempt, type(exc).__name__)
        finally:
            conn.close()
        self.record.line(
            'answered',
            attempt,
            answer.status,
            len(answer.body),
            'whole' if answer.whole else 'cut',
        )
        return answer

    def wait(self, holds: object, limit_s: float) -> bool:
        """Return whether a condition holds before a time is over."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if holds():
                return True
            time.sleep(0.1)
        return False

    def close(self) -> None:
        """End all processes that were started."""
        self.is_over = True
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait(10)
        self._folder.cleanup()


def configuration(version: int, **changes: object) -> dict:
    """Return a config of the sheet's kind: one model route, two plain ones."""
    route = {'host': 'app.example', 'priority': 1, 'public': False}
    plain = route | {
        'service': 'counter-app',
        'target_latency_ms': 200,
        'timeout_ms': 2500,
        'max_attempts': 1,
    }
    return {
        'version': version,
        'routes': [
            route
            | {
                'name': 'r-quote',
                'prefix': '/quote/',
                'route_type': 'streaming',
                'timeout_ms': 6000,
                'target_latency_ms': 300,
                'max_attempts': 2,
                'service': 'quote-llm',
                'sticky': True,
                'stream_resume': True,
                'gap_target_ms': 200,
            },
            plain
            | {
                'name': 'r-booking',
                'prefix': '/booking/',
                'route_type': 'non_idempotent',
            },
            plain
            | {
                'name': 'r-status',
                'prefix': '/status/',
                'route_type': 'idempotent',
                'max_attempts': 2,
            },
        ],
        'services': [
            {
                'name': 'quote-llm',
                'health_path': '/health',
                'max_connections': 474,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 3.0,
                'cold_per_s': 36.0,
                'engine': {
                    'slots': 13,
                    'kv_capacity': 700000,
                    'models': [
                        {
                            'name': 'm1',
                            'size': 2,
                            'share': 1.0,
                            'pace': 0.6,
                            'load_s': 12.0,
                            'warmup_s': 1.1,
                        }
                    ],
                    'loads_per_s': 4.0,
                    'loads_at_once': 6,
                    'keeps': 1,
                    'usual': {'prompt': 1076, 'answer': 116},
                    'far_x': 4.0,
                    'form_ms': 300.0,
                },
            },
            {
                'name': 'counter-app',
                'health_path': '/health',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 0.0,
                'cold_per_s': 0.0,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        }
        | changes,
        'tenants': [{'name': 't1', 'api_keys': ['key-1'], 'priority': 1}],
    }
