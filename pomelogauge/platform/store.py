"""HTTP client of the platform's store: reads, feeds and transactions."""

import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

from returns.result import Failure, Result, Success
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.response import BaseHTTPResponse

from ..entry.store import (
    RowExpected,
    RowWritten,
    StoreError,
    StoreFault,
    Table,
)
from ..model.errors import FindingsError
from ..model.ids import Address, RowVersion
from ..model.rows import Rows, StoredRow
from .fields import Fields, read_fields

#: Names of the tables in the store; the first two belong to the platform.
_TABLES = {
    Table.OPERATOR: 'op',
    Table.TARGETS: 'servers',
    Table.GROUPS: 'pomelogauge-groups',
    Table.OWNER: 'pomelogauge-owner',
    Table.QUARANTINE: 'pomelogauge-quarantine',
}
_OK = 200
#: The store no longer has the history that a feed requested.
_GONE = 410
#: An expected version of a transaction did not match.
_CONFLICT = 412
#: Rows that one page of a table may hold.
_PAGE_ROWS = 500
_MS_IN_S = 1000
#: The store responds within a few milliseconds; a connection that takes longer
#: than this counts as failed.
_CONNECT_TIMEOUT_S = 0.5

_Response = Result[BaseHTTPResponse, StoreError]


class StoreClient:
    """One connection to the store, which one task owns.

    No call retries; a failed one returns a ``StoreError``.

    Parameters
    ----------
    address
        ``host:port`` of the store.
    timeout_s
        Seconds to wait for a response, on top of the wait that a feed
        requests.

    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Create the client; the first call connects."""
        host, _, port = address.rpartition(':')
        self._timeout_s = timeout_s
        self._pool = HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )

    def read_all(self, table: Table) -> Result[Rows, StoreError]:
        """Return all rows of a table, read page by page.

        The version is that of the first page: a row of an earlier page may
        change while a later one is read, which only the changes since then
        show.
        """
        rows: tuple[StoredRow, ...] = ()
        version: RowVersion | None = None
        start = ''
        while True:
            query = {'table': _TABLES[table], 'part': '', 'limit': _PAGE_ROWS}
            if start:
                query['from'] = start
            page = self._page('rows-get', query, 0)
            if isinstance(page, Failure):
                return page
            fields, read = page.unwrap()
            rows = (*rows, *read.rows)
            version = read.version if version is None else version
            if not fields.flag('truncated') or not read.rows:
                return Success(Rows(rows, version))
            start = f'{read.rows[-1].key}\0'

    def changes(
        self,
        table: Table,
        after: RowVersion,
        wait_s: float,
    ) -> Result[Rows, StoreError]:
        """Wait for rows that changed after a version.

        Parameters
        ----------
        table
            Table to watch.
        after
            Version up to which all changes are known.
        wait_s
            Seconds that the store holds the call while nothing changes; then
            it returns no rows.

        """
        query = {
            'table': _TABLES[table],
            'after_rev': after,
            'wait_ms': int(wait_s * _MS_IN_S),
        }
        page = self._page('rows-feed', query, wait_s)
        return page.map(lambda decoded: decoded[1])

    def commit(
        self,
        expected: tuple[RowExpected, ...],
        written: tuple[RowWritten, ...],
    ) -> Result[RowVersion, StoreError]:
        """Write all rows if all conditions hold; otherwise write none.

        Returns the version of the written rows. After ``INDETERMINATE`` the
        rows may have been written or may still be written.
        """
        body = json.dumps(
            {
                'expected_rev': [
                    {**_key(row.table, row.key), 'ver': row.version}
                    for row in expected
                ],
                'set_keys': [
                    {
                        **_key(row.table, row.key),
                        'value': base64.b64encode(row.body).decode(),
                    }
                    for row in written
                    if row.body is not None
                ],
                'remove': [
                    _key(row.table, row.key)
                    for row in written
                    if row.body is None
                ],
            }
        )
        response = self._call('POST', '/rows-tx', 0, body.encode())
        return response.bind(_committed)

    def _page(
        self,
        call: str,
        query: dict[str, Any],
        wait_s: float,
    ) -> Result[tuple[Fields, Rows], StoreError]:
        response = self._call('GET', f'/{call}?{urlencode(query)}', wait_s)
        return response.bind(_rows)

    def _call(
        self,
        method: str,
        path: str,
        wait_s: float,
        body: bytes | None = None,
    ) -> _Response:
        headers = {'Content-Type': 'application/json'} if body else {}
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                redirect=False,
                timeout=Timeout(
                    connect=_CONNECT_TIMEOUT_S,
                    read=wait_s + self._timeout_s,
                ),
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return Failure(StoreError(StoreFault.UNAVAILABLE, str(exc)))
        except HTTPError as exc:
            fault = StoreFault.INDETERMINATE if body else StoreFault.UNAVAILABLE
            return Failure(StoreError(fault, str(exc)))
        return _checked(response)


def _checked(response: BaseHTTPResponse) -> _Response:
    if response.status == _OK:
        return Success(response)
    message = f'store responded with status {response.status}, expected {_OK}'
    faults = {_GONE: StoreFault.FORGOTTEN, _CONFLICT: StoreFault.CONFLICT}
    fault = faults.get(response.status, StoreFault.UNAVAILABLE)
    return Failure(StoreError(fault, message))


def _key(table: Table, key: str) -> dict[str, str]:
    return {'table': _TABLES[table], 'part': '', 'key': key}


def _rows(
    response: BaseHTTPResponse,
) -> Result[tuple[Fields, Rows], StoreError]:
    return _read(response, _decode_rows)


def _committed(response: BaseHTTPResponse) -> Result[RowVersion, StoreError]:
    return _read(response, lambda fields: RowVersion(fields.integer('ver')))


def _read(
    response: BaseHTTPResponse,
    build: Callable[[Fields], Any],
) -> Result[Any, StoreError]:
    try:
        fields = read_fields('store', response.data)
        record = build(fields)
        fields.check()
    except (FindingsError, ValueError) as exc:
        return Failure(StoreError(StoreFault.MALFORMED, str(exc)))
    return Success(record)


def _decode_rows(fields: Fields) -> tuple[Fields, Rows]:
    rows = tuple(_row(row) for row in fields.objects('rows'))
    return fields, Rows(rows, RowVersion(fields.integer('ver')))


def _row(fields: Fields) -> StoredRow:
    body = None
    if not fields.flag('tombstone'):
        body = base64.b64decode(fields.text('value', ''))
    return StoredRow(
        fields.text('key'),
        RowVersion(fields.integer('ver')),
        body,
    )
