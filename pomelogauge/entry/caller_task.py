"""The task of one caller's connection, which serves requests in turn."""

import socket
import threading
from contextlib import ExitStack
from random import random

from returns.result import Failure

from ..decide.serving_rules import Denial, admit, check_parts
from ..model.entry_request import AdmittedRequest, CallerRequest
from ..model.log_parts import Part
from ..model.metrics import Counter, Timing
from ..model.serving import CallerLimits
from ..tasks.log import part_logger
from ..tasks.mailbox import Mailbox
from ..tasks.metrics import CounterIncrement, RequestMetrics, TimingSample
from ..wire.caller_connection import (
    CallerConnection,
    CallerLeftError,
    ReadEnded,
    ReadLimits,
    ReadRefused,
)
from ..wire.caller_connection import RequestRead as CallerRequestRead
from .request_ports import RequestPorts
from .request_run import RequestEnd, RequestRun
from .requests_in_progress import RequestCounted, RequestFinished, RequestRead

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503
#: Status of each denial. All others get 503, by which callers know that the
#: request has not run and may be sent again.
_STATUSES = {Denial.NO_ROUTE: _NOT_FOUND, Denial.NO_KEY: _UNAUTHORIZED}
#: Seconds after which a caller is told to try again if a part of its prompt is
#: quarantined, which no wait of a caller outlasts, and where other instances
#: take its request at once.
_RETRY_AFTERS_S = {Denial.QUARANTINED: 60.0, Denial.LEAVING: 0.0}
#: Seconds after which callers may try again at an instance whose configuration
#: is missing, incomplete or too old.
_RETRY_AFTER_S = 1.0

_log = part_logger(Part.REQUEST)


class CallerTask:
    """Owns one caller's connection and, during a request, a target's.

    Parameters
    ----------
    sock
        Accepted socket.
    ports
        What all connections share.

    """

    def __init__(self, sock: socket.socket, ports: RequestPorts) -> None:
        """Take over the socket; nothing is read before the start."""
        self._ports = ports
        self._limits = _read_limits(self._caller_limits())
        self._conn = CallerConnection(sock, self._limits.head_bytes)

    def start(self) -> None:
        """Serve in a daemon thread until the connection ends."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            while self._serve_one():
                self._limits = _read_limits(self._caller_limits())
        except CallerLeftError as exc:
            _log.info('a caller closed its connection: %s', exc)
        except Exception:
            _log.exception("a caller's connection failed")
        finally:
            self._conn.close()

    def _serve_one(self) -> bool:
        """Serve one request; false if the connection has to close."""
        outcome = self._conn.read_request(self._limits)
        if isinstance(outcome, ReadEnded):
            return False
        if isinstance(outcome, ReadRefused):
            self._answer(outcome.status, outcome.message, 0, is_last=True)
            return False
        in_progress = self._ports.in_progress
        counted: Mailbox[RequestCounted] = Mailbox()
        in_progress.post(RequestRead(counted))
        with ExitStack() as stack:
            stack.callback(in_progress.post, RequestFinished())
            self._serve(outcome, counted)
        return self._conn.next_cycle()

    def _serve(
        self, read: CallerRequestRead, counted: Mailbox[RequestCounted]
    ) -> None:
        now_s = self._ports.clock.now_s()
        decoded = self._ports.codec.decode_request(read, now_s)
        if isinstance(decoded, Failure):
            message = str(decoded.failure())
            _log.warning('a malformed request is refused: %s', message)
            self._answer(_BAD_REQUEST, message, 0)
            return
        req = decoded.unwrap()
        fleet = self._ports.published_fleet.latest()
        verdict = self._check_shutdown(counted) or admit(
            req, fleet, self._ports.bounds, random()
        )
        if not isinstance(verdict, Denial):
            verdict = check_parts(req, fleet, is_retry=False) or verdict
        if isinstance(verdict, Denial):
            self._deny(req, verdict)
            return
        end = RequestRun(self._conn, verdict, self._ports).run()
        self._log_end(verdict, end)

    def _check_shutdown(
        self, counted: Mailbox[RequestCounted]
    ) -> Denial | None:
        """Deny a request that a shutdown does not wait for.

        Outside a shutdown the reply is not awaited: a request that is counted
        before the shutdown is published is not denied.
        """
        if not self._ports.leaving.latest():
            return None
        reply = counted.take()
        return None if reply is None or reply.may_run else Denial.LEAVING

    def _deny(self, req: CallerRequest, denial: Denial) -> None:
        status = _STATUSES.get(denial, _UNAVAILABLE)
        fleet = self._ports.published_fleet.latest()
        version = fleet.config.version if fleet.config else None
        _log.info(
            'request %s is denied: %s',
            req.attempt,
            denial,
            extra={
                'request': req.attempt,
                'status': status,
                'config': version,
                'config_age_s': round(req.received_at_s - fleet.confirmed_s, 2),
            },
        )
        self._ports.metrics.post(
            CounterIncrement(Counter.REQUESTS_REFUSED, denial)
        )
        retry_after_s = _RETRY_AFTERS_S.get(denial, _RETRY_AFTER_S)
        if status != _UNAVAILABLE:
            retry_after_s = 0
        self._answer(status, denial, retry_after_s)

    def _answer(
        self,
        status: int,
        message: str,
        retry_after_s: float,
        *,
        is_last: bool = False,
    ) -> None:
        codec = self._ports.codec
        self._conn.answer(
            status,
            codec.refusal_headers(retry_after_s),
            codec.refusal_body(message),
            is_last or self._ports.leaving.latest(),
        )

    def _log_end(self, admitted: AdmittedRequest, end: RequestEnd) -> None:
        req = admitted.req
        fleet = self._ports.published_fleet.latest()
        _log.info(
            'request %s: %s',
            req.attempt,
            end.state,
            extra={
                'request': req.attempt,
                'route': admitted.route.name,
                'status': end.status,
                'targets': end.targets,
                'reason': end.reason,
                'first_s': round(end.first_s, 3),
                'whole_s': round(end.whole_s, 3),
                'config': fleet.config.version if fleet.config else None,
            },
        )
        self._ports.metrics.post(
            RequestMetrics(
                (CounterIncrement(Counter.ENTRY_REQUESTS, end.state),),
                (
                    TimingSample(Timing.FIRST_TOKEN, end.first_s),
                    TimingSample(Timing.WHOLE_ANSWER, end.whole_s),
                ),
            )
        )

    def _caller_limits(self) -> CallerLimits:
        config = self._ports.published_fleet.latest().config
        return CallerLimits() if config is None else config.limits


def _read_limits(limits: CallerLimits) -> ReadLimits:
    return ReadLimits(
        head_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        head_s=limits.header_timeout_s,
        idle_s=limits.idle_timeout_s,
    )
