"""Commits that read back when the answer was lost, and transaction names."""

from returns.result import Failure, Result, Success

from ..tables.protocols import (
    Committed,
    PlatformError,
    PlatformFault,
    TableService,
    Transaction,
)


def commit_with_read_back(
    tables: TableService,
    transaction: Transaction,
) -> Result[Committed, PlatformError]:
    """Commit once; if the answer is lost, read back whether it took effect.

    A write that the rows don't show may still take effect later. The outcome
    then stays indeterminate; the conditions of the transaction keep a late
    write from undoing a newer one.
    """
    outcome = tables.commit(transaction)
    if not isinstance(outcome, Failure):
        return outcome
    if outcome.failure().fault != PlatformFault.INDETERMINATE:
        return outcome
    for write in transaction.writes:
        if write.text is None:
            continue
        row = tables.read(write.key).value_or(None)
        if row is not None and row.transaction == transaction.transaction:
            versions = (row.version,) * len(transaction.writes)
            return Success(Committed(versions))
        break
    return outcome


class TransactionNames:
    """Names of transactions, unique over all processes and their restarts."""

    def __init__(self, owner: str, incarnation: str) -> None:
        """Start a count that makes each name unique in this process."""
        self._prefix = f'{owner} {incarnation}'
        self._count = 0

    def next_name(self, purpose: str) -> str:
        """Return a name that has never been used."""
        self._count += 1
        return f'{self._prefix} {self._count} {purpose}'
