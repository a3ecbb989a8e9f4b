"""Tests of TLS for callers."""

import datetime
import ipaddress
import tempfile
import unittest
from collections.abc import Iterable, Mapping
from pathlib import Path

import urllib3
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from pomelogauge.app.router_root import wire_router
from pomelogauge.app.setting_rules import read_settings
from pomelogauge.app.settings import RouterSettings
from pomelogauge.model.errors import FindingsError
from pomelogauge.wire.callers_server import CallersServer, ServerSettings
from pomelogauge.wire.tls import TlsFiles, tls_findings
from pomelogauge.wire.wsgi_types import StartResponse

NOW = datetime.datetime.now(datetime.UTC)
DAY = datetime.timedelta(days=1)


def app(
    environ: Mapping[str, object],
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Answer with the scheme of the request."""
    body = str(environ['wsgi.url_scheme']).encode()
    start_response('200 OK', [('Content-Length', str(len(body)))])
    return [body]


class TlsTest(unittest.TestCase):
    """Guards against unusable files that replace a working certificate."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.files = TlsFiles(
            str(self.folder / 'cert.pem'), str(self.folder / 'key.pem')
        )

    def write(self, until: datetime.datetime, number: int = 1) -> None:
        """Write a new key and a self-signed certificate valid until then."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, 'router')])
        address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(number)
            .not_valid_before(NOW - 9 * DAY)
            .not_valid_after(until)
            .add_extension(x509.SubjectAlternativeName([address]), False)
            .sign(key, hashes.SHA256())
        )
        encoded = certificate.public_bytes(serialization.Encoding.PEM)
        Path(self.files.certificate).write_bytes(encoded)
        Path(self.files.key).write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )

    def fetch(self, port: int) -> bytes:
        """Send a request over a new connection that trusts the new files."""
        with urllib3.PoolManager(
            ca_certs=self.files.certificate, retries=False, timeout=5
        ) as pool:
            return pool.request('GET', f'https://127.0.0.1:{port}/').data

    def test_changed_files_are_loaded_unless_they_are_unusable(self) -> None:
        self.write(NOW + DAY)
        server = CallersServer(ServerSettings(threads=2, tls=self.files))
        port = server.bind('127.0.0.1', 0)
        server.serve(app)
        self.addCleanup(server.stop)
        self.assertEqual(self.fetch(port), b'https')
        trusted = Path(self.files.certificate).read_bytes()
        self.write(NOW + DAY, 2)
        self.assertEqual(self.fetch(port), b'https')
        # The expired certificate is not loaded: the server still shows the
        # one before, which the client no longer trusts.
        trusted = Path(self.files.certificate).read_bytes()
        self.write(NOW - DAY, 3)
        with self.assertLogs('pomelogauge.wire.tls', 'ERROR') as logged:
            with self.assertRaises(urllib3.exceptions.SSLError):
                self.fetch(port)
        self.assertIn('expired', logged.output[0])
        Path(self.files.certificate).write_bytes(trusted)
        self.assertEqual(self.fetch(port), b'https')

    def test_unusable_files_give_findings(self) -> None:
        self.assertEqual(len(tls_findings(self.files, NOW)), 2)
        self.write(NOW - DAY)
        (expired,) = tls_findings(self.files, NOW)
        self.assertIn('expired', str(expired))
        other_key = Path(self.files.key).read_bytes()
        self.write(NOW + DAY)
        self.assertEqual(tls_findings(self.files, NOW), ())
        Path(self.files.key).write_bytes(other_key)
        (mismatch,) = tls_findings(self.files, NOW)
        self.assertIn('is not the key', str(mismatch))
        Path(self.files.certificate).write_text('spam')
        (malformed,) = tls_findings(self.files, NOW)
        self.assertIn('PEM', str(malformed))

    def test_router_does_not_start_with_unusable_files(self) -> None:
        flags = {
            'node': 'r',
            'data_centre': 'n',
            'platform': '127.0.0.1:9',
            'tls_cert': self.files.certificate,
        }
        with self.assertRaises(FindingsError) as caught:
            wire_router(read_settings(RouterSettings, flags, {}))
        self.assertIn('--tls-key', str(caught.exception))
        cfg = read_settings(
            RouterSettings, {**flags, 'tls_key': self.files.key}, {}
        )
        with self.assertRaises(FindingsError) as caught:
            wire_router(cfg)
        self.assertEqual(len(caught.exception.findings), 2)


if __name__ == '__main__':
    unittest.main()
