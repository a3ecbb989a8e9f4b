"""Protocol for reading the published configuration."""

from typing import Protocol

from returns.result import Result

from ..model.ids import ConfigVersion
from .protocols import PlatformError


class VersionSource(Protocol):
    """Source of the published configuration, such as the table service."""

    def current_version(self) -> Result[ConfigVersion, PlatformError]:
        """Read the published version; zero if none was ever published."""

    def document(
        self,
        version: ConfigVersion,
    ) -> Result[bytes, PlatformError]:
        """Read the encoded configuration of a version.

        Fails with ``CONFLICT`` if another version is published by now.
        """
