"""Versions of the platform's store, ordered over its restores."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class StoreVersion:
    """Version of the store, or of a row at its last write.

    A store that is put back from a copy gives out numbers again that it had
    given before. All versions of an era precede those of the next one.

    Parameters
    ----------
    era
        Rises by one each time the store is put back; zero from a store that
        does not count its eras.
    number
        Number of the transaction; zero for none.

    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Return the version for log lines."""
        return f'{self.era}.{self.number}'


#: Version of a row that is absent, and of a store that has not been read.
ABSENT_ROW = StoreVersion()
