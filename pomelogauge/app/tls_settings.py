"""Checks the certificate and key that a router is given."""

from datetime import datetime

from ..model.errors import Finding, FindingsError, SourceLocation
from ..wire.tls import TlsFiles, tls_findings
from .settings import RouterSettings


def callers_tls(cfg: RouterSettings) -> TlsFiles | None:
    """Return the files for HTTPS; ``None`` when callers use HTTP.

    Raises
    ------
    FindingsError
        Only one of the two is given, or the files are invalid.

    """
    if not cfg.tls_cert and not cfg.tls_key:
        return None
    if not cfg.tls_cert or not cfg.tls_key:
        missing = '--tls-key' if cfg.tls_cert else '--tls-cert'
        raise FindingsError(
            [Finding(SourceLocation(missing), 'is required for HTTPS')]
        )
    files = TlsFiles(cfg.tls_cert, cfg.tls_key)
    findings = tls_findings(files, datetime.now().astimezone())
    if findings:
        raise FindingsError(findings)
    return files
