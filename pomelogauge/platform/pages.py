"""Translates callers' questions where to connect."""

import json

from ..model.fleet import EntryInstance

_PATH = b'/resolve'


class PageTranslator:
    """Decodes questions and encodes answers."""

    def is_directory_request(self, target: bytes) -> bool:
        """Return whether a request asks where to connect."""
        return target.partition(b'?')[0] == _PATH

    def encode_directory(
        self,
        instances: tuple[EntryInstance, ...],
        ttl_s: float,
    ) -> bytes:
        """Encode the answer."""
        addresses = [entry.address for entry in instances]
        return json.dumps({'addresses': addresses, 'ttl_s': ttl_s}).encode()
