"""HTTP server of the stand-ins: routes, JSON and dropped connections."""

import errno
import json
import signal
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol, TypeVar
from urllib.parse import parse_qs, unquote, urlsplit

from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from ..model.ids import Address
from ..tasks.mailbox import Mailbox

ReplyT = TypeVar('ReplyT')

#: Idle connections are closed after this time.
_IDLE_TIMEOUT_S = 60
#: Time that a stopping server waits for its worker threads.
_SHUTDOWN_TIMEOUT_S = 1
#: Limit of idle keep-alive connections; the default of cheroot is ten.
_IDLE_CONNECTIONS = 1024
#: Backlog of connections that wait to be accepted.
_BACKLOG = 128
#: A task that does not reply within this time counts as ended.
_REPLY_TIMEOUT_S = 30
_CONNECTION_ENTRY = 'pomelogauge.connection'


@dataclass(frozen=True)
class HttpRequest:
    """A received HTTP request.

    Parameters
    ----------
    method
        HTTP method in capitals.
    names
        Path segments that matched ``*`` in the route.
    query
        First value of each query parameter.
    headers
        Header fields by lower-case name.
    body
        Complete request body.
    client
        Node name from ``X-Client``; empty without that header.
    connection
        Connection of the request, for handlers that hold it open.

    """

    method: str
    names: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: str
    connection: HTTPConnection


@dataclass(frozen=True)
class HttpResponse:
    """A response with a complete body."""

    status: HTTPStatus = HTTPStatus.OK
    body: bytes = b''
    media_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


class BodyParts(Protocol):
    """Body of a streamed response."""

    def __iter__(self) -> Iterator[bytes]:
        """Yield parts; `ConnectionDroppedError` drops the connection."""

    def close(self) -> None:
        """Finish; called after the last part or the loss of the client."""


@dataclass(frozen=True)
class HttpStream:
    """A response whose parts are sent as they are produced."""

    parts: BodyParts
    headers: tuple[tuple[str, str], ...] = ()
    media_type: str = 'text/event-stream'


class ConnectionDroppedError(ConnectionResetError):
    """The connection is to be closed without a response."""

    def __init__(self) -> None:
        """Use the error number that cheroot treats as a lost client."""
        super().__init__(errno.ECONNRESET, 'cut')


class MalformedRequestError(ValueError):
    """A request whose body can't be decoded; answered with 400."""


class RefusedError(Exception):
    """A request that is refused with an error response."""

    def __init__(self, response: HttpResponse) -> None:
        """Set the response to be sent."""
        super().__init__(response.status.phrase)
        self.response = response


class Handler(Protocol):
    """Handles the requests of one route in a worker thread."""

    def __call__(self, http_request: HttpRequest) -> HttpResponse | HttpStream:
        """Handle a request; may raise the errors of this module."""


@dataclass(frozen=True)
class Route:
    """A method and a path pattern; ``*`` matches any one segment."""

    method: str
    path: str
    handler: Handler

    def names(self, method: str, parts: tuple[str, ...]) -> 'Names':
        """Return the segments matched by ``*``; ``None`` without a match."""
        wanted = _parts(self.path)
        if method != self.method or len(parts) != len(wanted):
            return None
        pairs = tuple(zip(wanted, parts, strict=True))
        if any(known not in {'*', part} for known, part in pairs):
            return None
        return tuple(part for known, part in pairs if known == '*')


Names = tuple[str, ...] | None
_Environment = dict[str, Any]
_StartResponse = Callable[..., Callable[[bytes], None]]


class HttpServer:
    """A cheroot server that binds its port on construction.

    Parameters
    ----------
    port
        Port on the loopback interface; zero takes a free port.
    routes
        Routes in the order in which they are matched.
    threads
        Number of worker threads.

    """

    def __init__(
        self,
        port: int,
        routes: tuple[Route, ...],
        threads: int,
    ) -> None:
        """Bind the port; requests are served after `start`."""
        self._routes = routes
        self._server = Server(
            ('127.0.0.1', port),
            self._serve,
            numthreads=threads,
            request_queue_size=_BACKLOG,
            timeout=_IDLE_TIMEOUT_S,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.keep_alive_conn_limit = _IDLE_CONNECTIONS
        self._server.prepare()
        bound_host, bound_port = self._server.bind_addr
        self.address = Address(f'{bound_host}:{bound_port}')
        self._thread = threading.Thread(
            target=self._server.serve,
            name=f'http-{bound_port}',
            daemon=True,
        )

    def start(self) -> None:
        """Serve requests in a thread of their own."""
        self._thread.start()

    def stop(self) -> None:
        """Close the port and all connections."""
        self._server.stop()

    def _serve(
        self,
        environ: _Environment,
        start_response: _StartResponse,
    ) -> BodyParts | tuple[bytes, ...]:
        response = self._dispatch(environ)
        headers = [('Content-Type', response.media_type), *response.headers]
        if isinstance(response, HttpStream):
            _send_headers(start_response('200 OK', headers), response.parts)
            return response.parts
        status = f'{response.status.value} {response.status.phrase}'
        if response.status is not HTTPStatus.NO_CONTENT:
            headers.append(('Content-Length', str(len(response.body))))
        start_response(status, headers)
        return (response.body,)

    def _dispatch(self, environ: _Environment) -> HttpResponse | HttpStream:
        method = environ['REQUEST_METHOD']
        parts = _parts(urlsplit(environ['REQUEST_URI']).path)
        for route in self._routes:
            names = route.names(method, parts)
            if names is not None:
                return _call_handler(
                    route.handler, _read_request(environ, names)
                )
        return error_response(
            HTTPStatus.NOT_FOUND, 'no_such_call', environ['PATH_INFO']
        )


class _Gateway(Gateway_10):
    """Passes the connection to the handlers."""

    def __init__(self, req: HTTPRequest) -> None:
        """Add the connection to the WSGI environment."""
        super().__init__(req)
        self.env[_CONNECTION_ENTRY] = req.conn


def json_response(
    fields: Any,
    status: HTTPStatus = HTTPStatus.OK,
) -> HttpResponse:
    """Build a response with a JSON body."""
    return HttpResponse(status, json.dumps(fields).encode())


#: Response to a change that was accepted.
NO_CONTENT = HttpResponse(HTTPStatus.NO_CONTENT)


def await_reply(reply: Mailbox[ReplyT]) -> ReplyT:
    """Wait for the reply of a task; drop the connection on a time-out."""
    response = reply.take(_REPLY_TIMEOUT_S)
    if response is None:
        raise ConnectionDroppedError
    return response


def error_response(status: HTTPStatus, code: str, message: str) -> HttpResponse:
    """Build an error response with a JSON body."""
    return json_response({'error': {'code': code, 'message': message}}, status)


def json_body(http_request: HttpRequest) -> dict[str, Any]:
    """Decode a body that is a JSON object; empty counts as ``{}``."""
    try:
        fields = json.loads(http_request.body or b'{}')
    except ValueError as exc:
        raise MalformedRequestError(str(exc)) from exc
    if isinstance(fields, dict):
        return fields
    raise MalformedRequestError('request body is not a JSON object')


def keep_open(connection: HTTPConnection) -> ConnectionDroppedError:
    """Detach a connection from its worker thread without closing it.

    Returns
    -------
    ConnectionDroppedError
        To be raised by the handler. The connection stays open for as long
        as it is referenced.

    """
    connection.linger = True
    return ConnectionDroppedError()


def close_connection(connection: HTTPConnection) -> None:
    """Close a connection that was held open."""
    connection.linger = False
    connection.close()


def print_ready(role: str, name: str, address: Address) -> None:
    """Print the JSON line that tells a launcher the bound address."""
    ready = {'ready': True, 'role': role, 'name': name, 'address': address}
    print(json.dumps(ready), flush=True)


def wait_for_signal() -> None:
    """Block until the process receives SIGTERM or SIGINT."""
    stops: Mailbox[int] = Mailbox()
    signal.signal(signal.SIGTERM, lambda got, _frame: stops.post(got))
    signal.signal(signal.SIGINT, lambda got, _frame: stops.post(got))
    stops.take()


def _send_headers(write: Callable[[bytes], None], parts: BodyParts) -> None:
    # An empty part sends the headers before the first part is produced.
    try:
        write(b'')
    except OSError:
        parts.close()
        raise


def _call_handler(
    handler: Handler, http_request: HttpRequest
) -> HttpResponse | HttpStream:
    try:
        return handler(http_request)
    except RefusedError as exc:
        return exc.response
    except (LookupError, TypeError, ValueError) as exc:
        return error_response(HTTPStatus.BAD_REQUEST, 'malformed', repr(exc))


def _read_request(environ: _Environment, names: tuple[str, ...]) -> HttpRequest:
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    query = parse_qs(environ['QUERY_STRING'], keep_blank_values=True)
    return HttpRequest(
        method=environ['REQUEST_METHOD'],
        names=names,
        query={name: texts[0] for name, texts in query.items()},
        headers=headers,
        body=environ['wsgi.input'].read(),
        client=headers.get('x-client', ''),
        connection=environ[_CONNECTION_ENTRY],
    )


def _parts(path: str) -> tuple[str, ...]:
    return tuple(unquote(part) for part in path.strip('/').split('/'))
