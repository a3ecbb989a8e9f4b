"""HTTP client of the platform's store: reads, feeds and transactions."""

import base64
import json
import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from ..entry.store import (
    RowExpected,
    RowWritten,
    StoreError,
    StoreFault,
    Table,
)
from ..model.errors import FindingsError
from ..model.ids import Address
from ..model.log_parts import Part
from ..model.rows import Rows, StoredRow
from ..model.store_version import ABSENT_ROW, StoreVersion
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..wire.http_exchange import (
    ExchangeBounds,
    ExchangeError,
    ExchangeFault,
    HttpAnswer,
    HttpExchange,
)
from ..wire.target_link import RequestHead
from .fields import Fields, read_fields

_log = part_logger(Part.STORE)

_Faults = Mapping[ExchangeFault, StoreFault]

#: Names of the tables in the store; the first two belong to the platform.
_TABLES = {
    Table.OPERATOR: 'op',
    Table.TARGETS: 'servers',
    Table.GROUPS: 'pomelogauge-groups',
    Table.OWNER: 'pomelogauge-owner',
    Table.QUARANTINE: 'pomelogauge-quarantine',
}
_JSON_HEADERS = ((b'Content-Type', b'application/json'),)
_OK = 200
#: The store no longer has the history that a feed requested.
_GONE = 410
#: An expected version of a transaction did not match.
_CONFLICT = 412
#: Rows that one page of a table may hold.
_PAGE_ROWS = 500
_MS_IN_S = 1000
#: Rises each time the store is put back from a copy.
_ERA_HEADER = 'store-era'
_ERA = re.compile('[0-9]{1,9}')
#: The store responds within a few milliseconds; a connection that takes longer
#: than this counts as failed. A page holds 1 MB of rows at most, but the
#: changes that a feed returns have no limit.
_BOUNDS = ExchangeBounds(connect_s=0.5, body_bytes=8 * 1024 * 1024)
#: Faults of calls without a response; with any other one nothing was done.
_READ_FAULTS: _Faults = MappingProxyType({})
#: A full read gets around changes that are too large: its pages are smaller.
_FEED_FAULTS: _Faults = MappingProxyType(
    {ExchangeFault.TOO_LARGE: StoreFault.FORGOTTEN}
)
_WRITE_FAULTS: _Faults = MappingProxyType(
    {
        ExchangeFault.UNANSWERED: StoreFault.INDETERMINATE,
        ExchangeFault.TOO_LARGE: StoreFault.INDETERMINATE,
    }
)

_Response = Result[HttpAnswer, StoreError]


class StoreClient:
    """One connection to the store, which one task owns.

    No call retries; a failed one returns a ``StoreError``.

    Parameters
    ----------
    address
        ``host:port`` of the store.
    timeout_s
        Seconds within which the whole response must be read, on top of the
        wait that a feed requests.
    clock
        Local clock, for the time of a response.

    """

    def __init__(
        self, address: Address, timeout_s: float, clock: Clock
    ) -> None:
        """Create the client; the first call connects."""
        self._timeout_s = timeout_s
        self._exchange = HttpExchange(address, _BOUNDS, clock)
        self._era = 0

    def read_all(self, table: Table) -> Result[Rows, StoreError]:
        """Return all rows of a table, read page by page.

        The version is that of the first page: a row of an earlier page may
        change while a later one is read, which only the changes since then
        show.
        """
        rows: tuple[StoredRow, ...] = ()
        version: StoreVersion | None = None
        start = ''
        while True:
            query = {'table': _TABLES[table], 'part': '', 'limit': _PAGE_ROWS}
            if start:
                query['from'] = start
            page = self._page('rows-get', query, 0, _READ_FAULTS)
            if isinstance(page, Failure):
                return page
            fields, read = page.unwrap()
            rows = (*rows, *read.rows)
            version = read.version if version is None else version
            if version.era != read.version.era:
                message = 'the store was put back between two pages'
                return Failure(StoreError(StoreFault.UNAVAILABLE, message))
            if not fields.flag('truncated') or not read.rows:
                return Success(Rows(rows, version))
            start = f'{read.rows[-1].key}\0'

    def changes(
        self,
        table: Table,
        after: StoreVersion,
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
            'after_rev': after.number,
            'wait_ms': int(wait_s * _MS_IN_S),
        }
        page = self._page('rows-feed', query, wait_s, _FEED_FAULTS)
        return page.bind(lambda decoded: _following(after, decoded[1]))

    def commit(
        self,
        expected: tuple[RowExpected, ...],
        written: tuple[RowWritten, ...],
    ) -> Result[StoreVersion, StoreError]:
        """Write all rows if all conditions hold; otherwise write none.

        Returns the version of the written rows. After ``INDETERMINATE`` the
        rows may have been written or may still be written.
        """
        eras = {
            row.version.era for row in expected if row.version != ABSENT_ROW
        }
        if eras - {self._era}:
            return _restored(self._era, eras)
        body = json.dumps(
            {
                'expected_rev': [
                    {**_key(row.table, row.key), 'ver': row.version.number}
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
        head = RequestHead(b'POST', b'/rows-tx', _JSON_HEADERS)
        response = self._call(head, body.encode(), 0, _WRITE_FAULTS)
        if eras - {self._era}:
            return _restored(self._era, eras)
        return response.bind(self._committed)

    def _committed(
        self, response: HttpAnswer
    ) -> Result[StoreVersion, StoreError]:
        return _read(
            response,
            lambda fields: StoreVersion(self._era, fields.integer('ver')),
        )

    def _page(
        self,
        call: str,
        query: dict[str, Any],
        wait_s: float,
        faults: _Faults,
    ) -> Result[tuple[Fields, Rows], StoreError]:
        path = f'/{call}?{urlencode(query)}'
        head = RequestHead(b'GET', path.encode(), ())
        return self._call(head, b'', wait_s, faults).bind(self._rows)

    def _rows(
        self, response: HttpAnswer
    ) -> Result[tuple[Fields, Rows], StoreError]:
        return _read(response, lambda fields: _decode_rows(fields, self._era))

    def _call(
        self,
        head: RequestHead,
        body: bytes,
        wait_s: float,
        faults: _Faults,
    ) -> _Response:
        response = self._exchange.send(head, body, wait_s + self._timeout_s)
        if isinstance(response, Failure):
            error: ExchangeError = response.failure()
            fault = faults.get(error.fault, StoreFault.UNAVAILABLE)
            return Failure(StoreError(fault, error.message))
        answer = response.unwrap()
        era = _parse_era(answer.header(_ERA_HEADER))
        if not era and answer.status != _OK:
            # What refuses a call on the way to the store names no era.
            return _checked(answer)
        if era < self._era:
            message = f'an answer of era {era} after one of era {self._era}'
            return Failure(StoreError(StoreFault.MALFORMED, message))
        if self._era and era != self._era:
            _log.warning(
                'the store has been put back from a copy',
                extra={'era': era, 'era_before': self._era},
            )
        self._era = era
        return _checked(answer)


def _parse_era(text: str) -> int:
    """Return the era of an answer; zero if it names none."""
    return int(text) if _ERA.fullmatch(text) else 0


def _following(after: StoreVersion, rows: Rows) -> Result[Rows, StoreError]:
    """Return the changes since a version, unless the store was put back."""
    if rows.version.era == after.era:
        return Success(rows)
    message = f'the store is in era {rows.version.era}, not {after.era}'
    return Failure(StoreError(StoreFault.FORGOTTEN, message))


def _restored(era: int, expected: set[int]) -> Result[StoreVersion, StoreError]:
    message = f'the store is in era {era}, a condition is of {min(expected)}'
    return Failure(StoreError(StoreFault.RESTORED, message))


def _checked(response: HttpAnswer) -> _Response:
    if response.status == _OK:
        return Success(response)
    message = f'store responded with status {response.status}, expected {_OK}'
    faults = {_GONE: StoreFault.FORGOTTEN, _CONFLICT: StoreFault.CONFLICT}
    fault = faults.get(response.status, StoreFault.UNAVAILABLE)
    return Failure(StoreError(fault, message))


def _key(table: Table, key: str) -> dict[str, str]:
    return {'table': _TABLES[table], 'part': '', 'key': key}


def _read(
    response: HttpAnswer,
    build: Callable[[Fields], Any],
) -> Result[Any, StoreError]:
    try:
        fields = read_fields('store', response.body)
        record = build(fields)
        fields.check()
    except (FindingsError, ValueError) as exc:
        return Failure(StoreError(StoreFault.MALFORMED, str(exc)))
    return Success(record)


def _decode_rows(fields: Fields, era: int) -> tuple[Fields, Rows]:
    rows = tuple(_row(row, era) for row in fields.objects('rows'))
    return fields, Rows(rows, StoreVersion(era, fields.integer('ver')))


def _row(fields: Fields, era: int) -> StoredRow:
    body = None
    if not fields.flag('tombstone'):
        body = base64.b64decode(fields.text('value', ''))
    return StoredRow(
        fields.text('key'),
        StoreVersion(era, fields.integer('ver')),
        body,
    )
