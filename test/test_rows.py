"""Tests of the encoding of rows."""

import unittest

from returns.result import Failure

from pomelogauge.model.ids import (
    Address,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    InstanceName,
    ReplicaId,
    RowVersion,
    ShardName,
)
from pomelogauge.model.placement import Member, Replica
from pomelogauge.tables.protocols import Row, RowKey
from pomelogauge.wire import rows

REPLICA = Replica(
    ReplicaId('quotes#0.x'),
    DeploymentName('quotes'),
    Epoch(3),
    ShardName('a/d'),
    (
        Member(
            InstanceName('e1'),
            Address('127.0.0.1:1'),
            DataCentreName('a'),
            DomainName('d'),
            0,
        ),
    ),
    version=RowVersion(7),
)


def row(text: str) -> Row:
    """Return a stored row with a text."""
    return Row(RowKey('t', 'quotes#0'), RowVersion(7), text, 'tx')


class RowsTest(unittest.TestCase):
    """Rows survive a round trip, and malformed ones are errors."""

    def test_a_replica_is_decoded_as_it_was_encoded(self) -> None:
        text = rows.encode_replica(REPLICA)
        self.assertEqual(rows.decode_replica(row(text)).unwrap(), REPLICA)

    def test_malformed_text_is_an_error(self) -> None:
        decoders = (
            rows.decode_lease,
            rows.decode_heartbeat,
            rows.decode_membership,
            rows.decode_replica,
        )
        texts = ('', '[]', '{}', '{"epoch": true, "holder": ""}', '[' * 99999)
        for decode in decoders:
            for text in texts:
                with self.subTest(decode=decode.__name__, text=text[:9]):
                    self.assertIsInstance(decode(row(text)), Failure)
