"""Tests of the settings of the daemons."""

import unittest

from pomelogauge.app.log_level import LogLevel
from pomelogauge.app.setting_rules import read_settings
from pomelogauge.app.settings import ControllerSettings, RouterSettings
from pomelogauge.model.errors import FindingsError

REQUIRED = {'node': 'r1', 'data_centre': 'dc1', 'platform': '127.0.0.1:9'}


class SettingsTest(unittest.TestCase):
    """Guards precedence, checks and messages of settings."""

    def test_flag_goes_before_variable_and_default(self) -> None:
        environment = {
            'POMELOGAUGE_PORT': '81',
            'POMELOGAUGE_LOG_LEVEL': 'debug',
            'POMELOGAUGE_RENEWAL_S': '',
            'POMELOGAUGE_ALLOW_CUTS': 'true',
        }
        flags = {**REQUIRED, 'port': '80', 'listen': None}
        settings = read_settings(RouterSettings, flags, environment)
        self.assertEqual(settings.port, 80)
        self.assertEqual(settings.log_level, LogLevel.DEBUG)
        self.assertEqual(settings.renewal_s, RouterSettings.renewal_s)
        self.assertEqual(settings.advertised_host, '127.0.0.1')
        self.assertTrue(settings.allow_cuts)

    def test_all_findings_come_together(self) -> None:
        flags = {
            'node': 'a b',
            'peer_port': '70000',
            'http_port': 'x',
            'renewal_s': '1',
            'log_level': 'loud',
            'watch_interval_s': 'nan',
        }
        environment = {
            'POMELOGAUGE_ORDER_TIMEOUT_S': '1',
            'POMELOGAUGE_LEASE_MARGIN_S': '1',
            'POMELOGAUGE_PLATFORM': 'nowhere',
        }
        with self.assertRaises(FindingsError) as caught:
            read_settings(ControllerSettings, flags, environment)
        self.assertEqual(
            str(caught.exception).splitlines(),
            [
                "--node: 'a b' is no name of letters, digits and ._-",
                '--data-centre: is required (or set POMELOGAUGE_DATA_CENTRE)',
                "POMELOGAUGE_PLATFORM: 'nowhere' is no address host:port",
                '--peer-port: 70000 must be at most 65535',
                "--log-level: 'loud' is none of debug, info, warning, error",
                "--http-port: 'x' is no whole number",
                '--watch-interval-s: nan must be above 0',
                '--watch-interval-s: nan must be at most 3600',
                '--renewal-s: 2 times renewal_s must be below lease_term_s',
                'POMELOGAUGE_ORDER_TIMEOUT_S: order_timeout_s must be below '
                'lease_margin_s',
            ],
        )

    def test_defaults_pass_all_checks(self) -> None:
        for record in (RouterSettings, ControllerSettings):
            read_settings(record, REQUIRED, {})
