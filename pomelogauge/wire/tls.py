"""HTTPS towards callers, from files that are read again when they change."""

import logging
import ssl
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from socket import socket

from cheroot.ssl.builtin import BuiltinSSLAdapter
from cryptography import x509

from ..model.errors import Finding, SourceLocation

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class TlsFiles:
    """Files in PEM form.

    Parameters
    ----------
    certificate
        The certificate, and those between it and the authority's.
    key
        Its private key.

    """

    certificate: str
    key: str


@dataclass(frozen=True)
class FileStamps:
    """Tells one state of the files from another."""

    certificate_ns: int
    key_ns: int


def tls_findings(files: TlsFiles, now: datetime) -> tuple[Finding, ...]:
    """Return what is wrong with the files.

    Parameters
    ----------
    files
        The files.
    now
        Time with its zone, for certificates that have expired.

    """
    return tuple(_findings(files, now))


class ReloadingAdapter(BuiltinSSLAdapter):
    """Serves HTTPS and takes new files for new connections.

    The server's accepting thread alone calls it. Files that are wrong are
    logged, and the former ones stay in use.

    Parameters
    ----------
    files
        The files.

    """

    def __init__(self, files: TlsFiles) -> None:
        """Load the files for the first time."""
        self._files = files
        self._stamps = _stamps(files)
        super().__init__(files.certificate, files.key)

    def wrap(self, sock: socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap a connection; its handshake is left to the caller's task."""
        self._reload()
        # A caller that says nothing must not hold up the accepting thread.
        wrapped = self.context.wrap_socket(
            sock,
            do_handshake_on_connect=False,
            server_side=True,
        )
        return wrapped, {'wsgi.url_scheme': 'https', 'HTTPS': 'on'}

    def _reload(self) -> None:
        stamps = _stamps(self._files)
        if stamps == self._stamps:
            return
        self._stamps = stamps
        findings = tls_findings(self._files, datetime.now().astimezone())
        if findings:
            _log.error('callers: certificate not taken: %s', findings[0])
            return
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(self._files.certificate, self._files.key)
        self.context = context
        _log.info('callers: new certificate in use')


def _findings(files: TlsFiles, now: datetime) -> Iterator[Finding]:
    unreadable = [
        Finding(SourceLocation(name), 'is no readable file')
        for name in (files.certificate, files.key)
        if not _is_readable(name)
    ]
    yield from unreadable
    if not unreadable:
        yield from _certificate_findings(files, now)


def _certificate_findings(
    files: TlsFiles,
    now: datetime,
) -> Iterator[Finding]:
    place = SourceLocation(files.certificate)
    try:
        found = x509.load_pem_x509_certificate(
            Path(files.certificate).read_bytes()
        )
    except ValueError:
        yield Finding(place, 'holds no certificate in PEM form')
        return
    if found.not_valid_after_utc <= now:
        yield Finding(place, f'has expired on {found.not_valid_after_utc}')
    if found.not_valid_before_utc > now:
        yield Finding(place, f'is not valid until {found.not_valid_before_utc}')
    try:
        ssl.create_default_context(ssl.Purpose.CLIENT_AUTH).load_cert_chain(
            files.certificate, files.key
        )
    except ssl.SSLError:
        yield Finding(
            SourceLocation(files.key), 'is not the key of the certificate'
        )


def _is_readable(name: str) -> bool:
    try:
        return bool(Path(name).read_bytes())
    except OSError:
        return False


def _stamps(files: TlsFiles) -> FileStamps:
    return FileStamps(_stamp(files.certificate), _stamp(files.key))


def _stamp(name: str) -> int:
    try:
        return Path(name).stat().st_mtime_ns
    except OSError:
        return 0
