"""Where published configurations are read, as a protocol type."""

from typing import Protocol

from returns.result import Result

from ..model.ids import ConfigVersion
from .protocols import PlatformError


class VersionSource(Protocol):
    """Reads of the published configuration."""

    def current_version(self) -> Result[ConfigVersion, PlatformError]:
        """Read the published version; zero when nothing is published."""

    def document(
        self,
        version: ConfigVersion,
    ) -> Result[bytes, PlatformError]:
        """Read the encoded configuration of a version."""
