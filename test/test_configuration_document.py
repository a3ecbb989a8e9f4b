"""Tests of the encoding of configurations."""

import unittest

from pomelogauge.model.ids import (
    CallName,
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    ModelName,
    OrganisationName,
    ServiceName,
)
from pomelogauge.model.manifest import (
    Configuration,
    DataCentre,
    Deployment,
    Manifest,
    Organisation,
    Service,
    ServiceCall,
)
from pomelogauge.wire.configuration_document import (
    decode_configuration,
    encode_configuration,
)

DC = DataCentreName('dc1')
ORGANISATION = OrganisationName('tapak-baik')
FULL = Manifest(
    (DataCentre(DC, 'klang-valley'),),
    (Organisation(ORGANISATION, ('0' * 64,), 3, 40),),
    (
        Deployment(
            DeploymentName('quotes'),
            ModelName('quotes'),
            '7',
            span=4,
            replicas=2,
            data_centres=(DC,),
            adapters=('ms',),
            priority=5,
            checks_fence=False,
            organisations=(ORGANISATION,),
        ),
    ),
    (
        Service(
            ServiceName('booking'),
            (ServiceCall(CallName('book'), idempotent=False),),
            (ORGANISATION,),
        ),
    ),
)


class ConfigurationDocumentTest(unittest.TestCase):
    def test_decodes_what_it_encoded(self) -> None:
        full = Configuration(ConfigVersion(7), FULL, (DC,), 'Ása')
        for configuration in (full, Configuration()):
            body = encode_configuration(configuration)
            self.assertEqual(decode_configuration(body).unwrap(), configuration)

    def test_reports_every_finding(self) -> None:
        findings = decode_configuration(b'{"version": "1"}').failure()
        self.assertEqual(len(findings), 4)
        self.assertIn(
            'version', {finding.location.path for finding in findings}
        )

    def test_bytes_that_are_no_json_are_a_finding(self) -> None:
        for body in (b'', b'\xff', b'{', b'[' * 100_000):
            findings = decode_configuration(body).failure()
            self.assertEqual(len(findings), 1)
