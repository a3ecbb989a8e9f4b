"""Translates callers' questions where to connect."""

import json
from urllib.parse import parse_qs, urlsplit

from ..entry.codecs import EntryQuestion
from ..model.fleet import EntryInstance
from ..model.ids import DataCentreName

_PATH = '/resolve'


class PageTranslator:
    """Decodes questions and encodes answers."""

    def decode_question(self, target: bytes) -> EntryQuestion | None:
        """Decode a question; ``None`` for any other request."""
        parts = urlsplit(target.decode('latin-1'))
        if parts.path != _PATH:
            return None
        zones = parse_qs(parts.query).get('zone', [''])
        return EntryQuestion(DataCentreName(zones[0]))

    def encode_entries(
        self,
        entries: tuple[EntryInstance, ...],
        life_s: float,
    ) -> bytes:
        """Encode the answer."""
        addresses = [entry.address for entry in entries]
        return json.dumps({'addresses': addresses, 'ttl_s': life_s}).encode()
