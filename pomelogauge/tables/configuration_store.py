"""Reads and publishes configurations in the platform's store."""

import uuid
from dataclasses import dataclass, replace

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..model.ids import ABSENT_ROW, NO_VERSION, ConfigVersion, RowVersion
from ..model.manifest import Configuration
from ..wire.configuration_document import (
    decode_configuration,
    encode_configuration,
)
from ..wire.configuration_row import (
    ConfigurationRow,
    decode_configuration_row,
    encode_configuration_row,
)
from .protocols import (
    Condition,
    Platform,
    PlatformError,
    PlatformFault,
    Row,
    RowKey,
    Transaction,
    Write,
)

#: Row that names the published version and its object.
CURRENT_KEY = RowKey('configuration', 'current')


@dataclass(frozen=True)
class PublishConflict:
    """Another version was published than the publisher expected.

    Parameters
    ----------
    version
        Version that is published; zero if none is.
    publisher
        Operator who published it; empty if unknown.

    """

    version: ConfigVersion
    publisher: str

    def __str__(self) -> str:
        """Return ``version N by NAME``."""
        return f'version {self.version} by {self.publisher or "nobody"}'


PublishError = PlatformError | PublishConflict
Published = Result[Configuration, PublishError]


@dataclass(frozen=True)
class _Current:
    """The row of the published version, and its version as a condition."""

    row_version: RowVersion = ABSENT_ROW
    transaction: str = ''
    row: ConfigurationRow = ConfigurationRow(NO_VERSION, '', '')

    @property
    def conflict(self) -> PublishConflict:
        return PublishConflict(self.row.version, self.row.publisher)


class ConfigurationStore:
    """Published configurations: one row, and one object per version.

    Parameters
    ----------
    platform
        Tables and objects.

    """

    def __init__(self, platform: Platform) -> None:
        """Take the platform; it is not called yet."""
        self._platform = platform
        self._last = _Current()

    def newest(self) -> Result[Configuration | None, PlatformError]:
        """Read the published configuration; ``None`` if there is none."""
        return self._current().bind(self._configuration)

    def current_version(self) -> Result[ConfigVersion, PlatformError]:
        """Read the published version; zero if there is none."""
        return self._current().map(lambda current: current.row.version)

    def document(self, version: ConfigVersion) -> Result[bytes, PlatformError]:
        """Return the encoded configuration of the published version.

        If the last read of the row named this version, the row is not read
        again: on a slow store a second read would double the time.

        Parameters
        ----------
        version
            Version that must be the published one, else the call fails with
            ``CONFLICT``.

        """
        if version != NO_VERSION and self._last.row.version == version:
            return self._document(self._last)
        current = self._current()
        if not is_successful(current):
            return Failure(current.failure())
        if current.unwrap().row.version != version:
            return _conflict(current.unwrap().conflict)
        return self._document(current.unwrap())

    def publish(
        self,
        configuration: Configuration,
        expected_version: ConfigVersion,
    ) -> Published:
        """Publish a configuration as the next version.

        Parameters
        ----------
        configuration
            What is published; the store sets its version.
        expected_version
            Version that must be published at present; zero for none.

        Returns
        -------
        Result
            The configuration with its version; else ``PublishConflict`` if
            another version is published, or a failed call. After a failure
            with ``INDETERMINATE`` the publication may still take effect.

        """
        current = self._current()
        if not is_successful(current):
            return Failure(current.failure())
        if current.unwrap().row.version != expected_version:
            return Failure(current.unwrap().conflict)
        version = ConfigVersion(expected_version + 1)
        return self._write(
            replace(configuration, version=version),
            current.unwrap().row_version,
        )

    def _write(
        self,
        configuration: Configuration,
        row_version: RowVersion,
    ) -> Published:
        publication = uuid.uuid4().hex
        name = f'configuration-{configuration.version}-{publication}'
        stored = self._platform.put(name, encode_configuration(configuration))
        if not is_successful(stored):
            # No row refers to the object yet, so nothing was published.
            return Failure(_without_effect(stored.failure()))
        row = ConfigurationRow(
            configuration.version, name, configuration.publisher
        )
        transaction = Transaction(
            publication,
            (Condition(CURRENT_KEY, row_version),),
            (Write(CURRENT_KEY, encode_configuration_row(row)),),
        )
        return self._commit(transaction, configuration)

    def _commit(
        self,
        transaction: Transaction,
        configuration: Configuration,
    ) -> Published:
        committed = self._platform.commit(transaction)
        if is_successful(committed):
            return Success(configuration)
        error = committed.failure()
        if error.fault is PlatformFault.UNAVAILABLE:
            return Failure(error)
        return self._read_back(transaction, configuration, error)

    def _read_back(
        self,
        transaction: Transaction,
        configuration: Configuration,
        error: PlatformError,
    ) -> Published:
        """Read back the row after a conflict or a lost answer."""
        current = self._current()
        if not is_successful(current):
            return Failure(replace(error, fault=PlatformFault.INDETERMINATE))
        found = current.unwrap()
        if found.transaction == transaction.transaction:
            return Success(configuration)
        if found.row.version == configuration.version:
            return Failure(found.conflict)
        # Either the write has not taken effect and may still do so, or it has
        # and a later version has replaced it.
        message = f'{error.message}; {found.conflict} is published'
        return Failure(PlatformError(PlatformFault.INDETERMINATE, message))

    def _current(self) -> Result[_Current, PlatformError]:
        read = self._platform.read(CURRENT_KEY).bind(_decode_row)
        self._last = read.value_or(self._last)
        return read

    def _configuration(
        self,
        current: _Current,
    ) -> Result[Configuration | None, PlatformError]:
        if current.row_version == ABSENT_ROW:
            return Success(None)
        return self._document(current).bind(_decode)

    def _document(self, current: _Current) -> Result[bytes, PlatformError]:
        name = current.row.object_name
        return self._platform.get(name).bind(
            lambda body: (
                _malformed(f'object {name} is absent')
                if body is None
                else Success(body)
            )
        )


def _decode_row(row: Row | None) -> Result[_Current, PlatformError]:
    if row is None:
        return Success(_Current())
    decoded = decode_configuration_row(row.text)
    if not is_successful(decoded):
        return _malformed(decoded.failure())
    return Success(_Current(row.version, row.transaction, decoded.unwrap()))


def _decode(body: bytes) -> Result[Configuration | None, PlatformError]:
    decoded = decode_configuration(body)
    if is_successful(decoded):
        return Success(decoded.unwrap())
    return _malformed('; '.join(map(str, decoded.failure())))


def _without_effect(error: PlatformError) -> PlatformError:
    if error.fault is PlatformFault.INDETERMINATE:
        return replace(error, fault=PlatformFault.UNAVAILABLE)
    return error


def _conflict(conflict: PublishConflict) -> Failure[PlatformError]:
    message = f'{conflict} is published'
    return Failure(PlatformError(PlatformFault.CONFLICT, message))


def _malformed(message: str) -> Failure[PlatformError]:
    return Failure(PlatformError(PlatformFault.MALFORMED, message))
