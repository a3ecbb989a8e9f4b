"""Directory of instances, from which callers learn where to connect."""

import json

from ..model.fleet import EntryInstance

_PATH = b'/resolve'


class PageTranslator:
    """Recognises directory requests and encodes their responses."""

    def is_directory_request(self, target: bytes) -> bool:
        """Return whether a request target, with any query, is the directory.

        The query is not evaluated.
        """
        return target.partition(b'?')[0] == _PATH

    def encode_directory(
        self,
        instances: tuple[EntryInstance, ...],
        ttl_s: float,
    ) -> bytes:
        """Encode the response.

        Parameters
        ----------
        instances
            Entry instances that accept callers.
        ttl_s
            Seconds for which a caller may cache the response.

        """
        addresses = [instance.address for instance in instances]
        return json.dumps({'addresses': addresses, 'ttl_s': ttl_s}).encode()
