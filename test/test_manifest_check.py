"""Tests of what a manifest means."""

import unittest
from dataclasses import replace

from pomelogauge.app.manifest_file import read_manifest
from pomelogauge.decide.manifest_check import check_manifest
from pomelogauge.model.errors import FindingsError
from pomelogauge.model.ids import DeploymentName
from pomelogauge.model.manifest import Manifest


class ManifestCheckTest(unittest.TestCase):
    def test_each_fault_is_found_on_its_line(self) -> None:
        with self.assertRaises(FindingsError) as caught:
            read_manifest('docs/examples/broken.yaml')
        found = {
            (at.location.line, at.location.path)
            for at in caught.exception.findings
        }
        self.assertEqual(
            found,
            {
                (5, 'data_centres/1/name'),
                (14, 'organisations/1/key_hashes/0'),
                (15, 'organisations/1/weight'),
                (21, 'deployments/0/adapters/1'),
                (22, 'deployments/0/span'),
                (23, 'deployments/0/replicas'),
                (24, 'deployments/0/data_centres/0'),
                (25, 'deployments/0/organisations/0'),
                (32, 'services/0/calls/1/name'),
            },
        )

    def test_two_deployments_may_serve_one_model(self) -> None:
        manifest = read_manifest('docs/examples/manifest.yaml')
        first = manifest.deployments[0]
        other = replace(first, name=DeploymentName('spare'), priority=0)
        both = replace(manifest, deployments=(first, other))
        self.assertEqual(tuple(check_manifest(both)), ())

    def test_replicas_need_a_data_centre(self) -> None:
        manifest = read_manifest('docs/examples/manifest.yaml')
        nowhere = replace(manifest.deployments[0], data_centres=())
        faults = check_manifest(replace(manifest, deployments=(nowhere,)))
        self.assertEqual(
            [fault.path for fault in faults],
            [('deployments', 0, 'data_centres')],
        )

    def test_an_empty_manifest_has_no_faults(self) -> None:
        self.assertEqual(tuple(check_manifest(Manifest())), ())
