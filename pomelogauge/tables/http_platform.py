"""Client of the platform's HTTP interface."""

from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote

from returns.result import Failure, Result, Success
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.response import BaseHTTPResponse

from ..model.ids import Address
from ..model.topology import Instance
from ..wire.json_fields import DecodeError
from ..wire.platform_json import (
    decode_committed,
    decode_instances,
    decode_row,
    decode_rows,
    encode_transaction,
)
from .protocols import (
    Committed,
    PlatformError,
    PlatformFault,
    Row,
    RowKey,
    Transaction,
)

RecordT = TypeVar('RecordT')
_Answer = Result[BaseHTTPResponse, PlatformError]

#: Idle connections that are kept for the tasks of one process.
_POOL_SIZE = 8

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503


class HttpPlatform:
    """Tables, objects and the instance list over one connection pool.

    Safe for use by several tasks.

    Parameters
    ----------
    address
        ``host:port`` of the platform.
    client
        Node name, sent as ``X-Client``.
    timeout_s
        Time-out of the connection, and longest wait for the next bytes of
        an answer.

    """

    def __init__(
        self,
        address: Address,
        client: str,
        timeout_s: float,
    ) -> None:
        """Create the pool; connections are opened by the calls."""
        host, _, port = address.rpartition(':')
        self._pool = HTTPConnectionPool(
            host,
            int(port),
            timeout=Timeout(connect=timeout_s, read=timeout_s),
            maxsize=_POOL_SIZE,
            retries=False,
            headers={'X-Client': client},
        )

    def read(self, key: RowKey) -> Result[Row | None, PlatformError]:
        """Read one row; ``None`` if it is absent."""
        answer = self._call('GET', f'{_table(key.table)}/{_quoted(key.key)}')
        return answer.bind(lambda found: _row_or_none(key.table, found))

    def scan(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Read all rows whose keys start with a prefix, sorted by key."""
        answer = self._call('GET', f'{_table(table)}?prefix={_quoted(prefix)}')
        return answer.bind(
            lambda found: _body(found, lambda body: decode_rows(table, body)),
        )

    def commit(
        self,
        transaction: Transaction,
    ) -> Result[Committed, PlatformError]:
        """Commit a transaction, without retries.

        After a lost or malformed answer the rows are read back.
        """
        answer = self._call(
            'POST',
            '/v1/transactions',
            encode_transaction(transaction),
        )
        committed = answer.bind(
            lambda found: _body(found, decode_committed),
        )
        if _needs_read_back(committed):
            return self._read_back(transaction)
        return committed

    def put(self, name: str, body: bytes) -> Result[None, PlatformError]:
        """Store an object; after ``INDETERMINATE`` it may be stored again."""
        answer = self._call('PUT', _object(name), body)
        return answer.bind(lambda found: _body(found, _ignored))

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object; ``None`` if it is absent."""
        answer = self._call('GET', _object(name))
        return answer.bind(_bytes_or_none)

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return the whole list as the platform has it now."""
        answer = self._call('GET', '/v1/instances')
        return answer.bind(lambda found: _body(found, decode_instances))

    def _call(self, method: str, path: str, body: bytes = b'') -> _Answer:
        try:
            answer = self._pool.request(method, path, body=body or None)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return _failure(PlatformFault.UNAVAILABLE, str(exc))
        except (HTTPError, OSError) as exc:
            # The call was sent: a write may have taken effect, a read has none.
            return _failure(_fault_of_lost_answer(method), str(exc))
        return _checked(answer)

    def _read_back(
        self,
        transaction: Transaction,
    ) -> Result[Committed, PlatformError]:
        found: dict[RowKey, Row | None] = {}
        for key in _keys(transaction):
            row = self.read(key)
            if isinstance(row, Failure):
                return _failure(
                    PlatformFault.INDETERMINATE,
                    f'answer lost, and {key.table}/{key.key} not readable',
                )
            found[key] = row.unwrap()
        return _outcome_in_rows(transaction, found)


def _outcome_in_rows(
    transaction: Transaction,
    found: dict[RowKey, Row | None],
) -> Result[Committed, PlatformError]:
    # All rows that one transaction writes get the same version.
    for write in transaction.writes:
        row = found[write.key]
        if row and row.transaction == transaction.transaction:
            versions = (row.version,) * len(transaction.writes)
            return Success(Committed(versions))
    # A row that another transaction changed proves nothing: the write may have
    # taken effect before and been overwritten since.
    return _failure(
        PlatformFault.INDETERMINATE,
        'no row shows the write; it may arrive later or be overwritten',
    )


def _keys(transaction: Transaction) -> tuple[RowKey, ...]:
    return tuple(write.key for write in transaction.writes)


def _needs_read_back(outcome: Result[Committed, PlatformError]) -> bool:
    if isinstance(outcome, Success):
        return False
    return outcome.failure().fault in {
        PlatformFault.INDETERMINATE,
        PlatformFault.MALFORMED,
    }


def _fault_of_lost_answer(method: str) -> PlatformFault:
    if method == 'GET':
        return PlatformFault.UNAVAILABLE
    return PlatformFault.INDETERMINATE


def _checked(answer: BaseHTTPResponse) -> _Answer:
    if answer.status in {_OK, _NOT_FOUND}:
        return Success(answer)
    message = answer.data.decode(errors='replace')
    if answer.status == _CONFLICT:
        return _failure(PlatformFault.CONFLICT, message)
    if answer.status == _UNAVAILABLE:
        return _failure(PlatformFault.UNAVAILABLE, message)
    return _failure(PlatformFault.MALFORMED, f'{answer.status}: {message}')


def _body(
    answer: BaseHTTPResponse,
    decode: Callable[[bytes], Result[RecordT, DecodeError]],
) -> Result[RecordT, PlatformError]:
    if answer.status == _NOT_FOUND:
        return _failure(
            PlatformFault.MALFORMED,
            'HTTP 404: the platform does not know the path',
        )
    return decode(answer.data).alt(_malformed)


def _row_or_none(
    table: str,
    answer: BaseHTTPResponse,
) -> Result[Row | None, PlatformError]:
    if answer.status == _NOT_FOUND:
        return Success(None)
    return decode_row(table, answer.data).alt(_malformed)


def _bytes_or_none(
    answer: BaseHTTPResponse,
) -> Result[bytes | None, PlatformError]:
    return Success(None if answer.status == _NOT_FOUND else answer.data)


def _ignored(_: bytes) -> Result[None, DecodeError]:
    return Success(None)


def _malformed(error: DecodeError) -> PlatformError:
    return PlatformError(PlatformFault.MALFORMED, error.message)


def _failure(
    fault: PlatformFault,
    message: str,
) -> Result[RecordT, PlatformError]:
    return Failure(PlatformError(fault, message))


def _table(table: str) -> str:
    return f'/v1/tables/{_quoted(table)}/rows'


def _object(name: str) -> str:
    return f'/v1/objects/{_quoted(name)}'


def _quoted(text: str) -> str:
    return quote(text, safe='')
