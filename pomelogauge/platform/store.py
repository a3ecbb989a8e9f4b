"""Client of the platform's metadata store: rows, feeds, transactions."""

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
}
_OK = 200
_GONE = 410
_CONFLICT = 412
_MOST_ROWS = 500
_MS_IN_S = 1000
#: Seconds to connect; the store answers within a few milliseconds.
_CONNECT_S = 0.5

_Answer = Result[BaseHTTPResponse, StoreError]


class StoreClient:
    """One connection to the store; used by one task.

    Parameters
    ----------
    address
        ``host:port`` of the store.
    timeout_s
        Seconds that an answer may take beyond the wait of a feed.

    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Connect with the first call."""
        host, _, port = address.rpartition(':')
        self._timeout_s = timeout_s
        self._pool = HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )

    def read_all(self, table: Table) -> Result[Rows, StoreError]:
        """Return all rows of a table, read page by page."""
        rows: tuple[StoredRow, ...] = ()
        start = ''
        while True:
            query = {'table': _TABLES[table], 'part': '', 'limit': _MOST_ROWS}
            if start:
                query['from'] = start
            page = self._page('rows-get', query, 0)
            if isinstance(page, Failure):
                return page
            fields, read = page.unwrap()
            rows = (*rows, *read.rows)
            if not fields.flag('truncated') or not read.rows:
                return Success(Rows(rows, read.version))
            start = f'{read.rows[-1].key}\0'

    def changes(
        self,
        table: Table,
        after: RowVersion,
        wait_s: float,
    ) -> Result[Rows, StoreError]:
        """Wait for rows that changed after a version."""
        query = {
            'table': _TABLES[table],
            'after_rev': after,
            'wait_ms': int(wait_s * _MS_IN_S),
        }
        page = self._page('rows-feed', query, wait_s)
        return page.map(lambda found: found[1])

    def commit(
        self,
        expected: tuple[RowExpected, ...],
        written: tuple[RowWritten, ...],
    ) -> Result[RowVersion, StoreError]:
        """Write all rows if all conditions hold; else none."""
        body = json.dumps(
            {
                'expected_rev': [
                    {**_key(one.table, one.key), 'ver': one.version}
                    for one in expected
                ],
                'set_keys': [
                    {
                        **_key(one.table, one.key),
                        'value': base64.b64encode(one.body).decode(),
                    }
                    for one in written
                    if one.body is not None
                ],
                'remove': [
                    _key(one.table, one.key)
                    for one in written
                    if one.body is None
                ],
            }
        )
        answer = self._call('POST', '/rows-tx', 0, body.encode())
        return answer.bind(_committed)

    def _page(
        self,
        call: str,
        query: dict[str, Any],
        wait_s: float,
    ) -> Result[tuple[Fields, Rows], StoreError]:
        answer = self._call('GET', f'/{call}?{urlencode(query)}', wait_s)
        return answer.bind(_rows)

    def _call(
        self,
        method: str,
        path: str,
        wait_s: float,
        body: bytes | None = None,
    ) -> _Answer:
        headers = {'Content-Type': 'application/json'} if body else {}
        try:
            answer = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                redirect=False,
                timeout=Timeout(
                    connect=_CONNECT_S,
                    read=wait_s + self._timeout_s,
                ),
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return Failure(StoreError(StoreFault.UNAVAILABLE, str(exc)))
        except HTTPError as exc:
            fault = StoreFault.INDETERMINATE if body else StoreFault.UNAVAILABLE
            return Failure(StoreError(fault, str(exc)))
        return _checked(answer)


def _checked(answer: BaseHTTPResponse) -> _Answer:
    if answer.status == _OK:
        return Success(answer)
    message = f'status {answer.status}'
    faults = {_GONE: StoreFault.FORGOTTEN, _CONFLICT: StoreFault.CONFLICT}
    fault = faults.get(answer.status, StoreFault.UNAVAILABLE)
    return Failure(StoreError(fault, message))


def _key(table: Table, key: str) -> dict[str, str]:
    return {'table': _TABLES[table], 'part': '', 'key': key}


def _rows(answer: BaseHTTPResponse) -> Result[tuple[Fields, Rows], StoreError]:
    return _read(answer, _decode_rows)


def _committed(answer: BaseHTTPResponse) -> Result[RowVersion, StoreError]:
    return _read(answer, lambda fields: RowVersion(fields.integer('ver')))


def _read(
    answer: BaseHTTPResponse,
    build: Callable[[Fields], Any],
) -> Result[Any, StoreError]:
    try:
        fields = read_fields('store', answer.data)
        record = build(fields)
        fields.check()
    except (FindingsError, ValueError) as exc:
        return Failure(StoreError(StoreFault.MALFORMED, str(exc)))
    return Success(record)


def _decode_rows(fields: Fields) -> tuple[Fields, Rows]:
    rows = tuple(_row(one) for one in fields.objects('rows'))
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
