"""TLS for callers, with certificate files that are reloaded on change."""

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
    """Paths of the server's certificate and key in PEM format.

    Parameters
    ----------
    certificate
        File with the certificate, followed by intermediate certificates.
    key
        File with the certificate's private key.

    """

    certificate: str
    key: str


@dataclass(frozen=True)
class ModificationTimes:
    """Modification times of the two files; zero for one that is missing."""

    certificate_ns: int
    key_ns: int


def tls_findings(files: TlsFiles, now: datetime) -> tuple[Finding, ...]:
    """Return what keeps the files from being used; empty if nothing does.

    Parameters
    ----------
    files
        Certificate and key to check.
    now
        Current time with its zone, compared with the certificate's validity.

    """
    return tuple(_findings(files, now))


class ReloadingAdapter(BuiltinSSLAdapter):
    """TLS adapter of the server that reloads changed files.

    Used by the server's accepting thread only. New connections get the new
    certificate. Unusable files are logged once for each change, and the
    certificate loaded before stays in use.

    Parameters
    ----------
    files
        Certificate and key, checked before the server starts.

    """

    def __init__(self, files: TlsFiles) -> None:
        """Load the files."""
        self._files = files
        self._modification_times = _modification_times(files)
        super().__init__(files.certificate, files.key)

    def wrap(self, sock: socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap a connection; the worker thread does the handshake.

        Returns
        -------
        tuple
            The TLS socket, and entries for the WSGI environment.

        """
        self._reload()
        # A handshake here would let a caller that sends nothing block the
        # accepting thread.
        wrapped = self.context.wrap_socket(
            sock,
            do_handshake_on_connect=False,
            server_side=True,
        )
        return wrapped, {'wsgi.url_scheme': 'https', 'HTTPS': 'on'}

    def _reload(self) -> None:
        modification_times = _modification_times(self._files)
        if modification_times == self._modification_times:
            return
        self._modification_times = modification_times
        findings = tls_findings(self._files, datetime.now().astimezone())
        if findings:
            _log.error(
                'callers: changed TLS files are unusable, keeping the loaded '
                'certificate: %s',
                findings[0],
            )
            return
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(self._files.certificate, self._files.key)
        self.context = context
        _log.info(
            'callers: loaded changed certificate %s', self._files.certificate
        )


def _findings(files: TlsFiles, now: datetime) -> Iterator[Finding]:
    unreadable = [
        Finding(SourceLocation(name), 'is empty or unreadable')
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
        certificate = x509.load_pem_x509_certificate(
            Path(files.certificate).read_bytes()
        )
    except ValueError:
        yield Finding(place, 'holds no certificate in PEM format')
        return
    if certificate.not_valid_after_utc <= now:
        yield Finding(place, f'expired at {certificate.not_valid_after_utc}')
    if certificate.not_valid_before_utc > now:
        yield Finding(
            place, f'is not valid until {certificate.not_valid_before_utc}'
        )
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


def _modification_times(files: TlsFiles) -> ModificationTimes:
    return ModificationTimes(
        _modified_at_ns(files.certificate), _modified_at_ns(files.key)
    )


def _modified_at_ns(name: str) -> int:
    try:
        return Path(name).stat().st_mtime_ns
    except OSError:
        return 0
