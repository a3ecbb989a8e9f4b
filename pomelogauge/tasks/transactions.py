"""Commits whose lost answers are settled by reading back."""

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
    """Commit once; read back when the answer was lost.

    A write that shows up neither now nor in the rows may still take effect
    later, so that the failure stays unsettled; its conditions keep it from
    undoing a later write.
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
    """Names of transactions, unique over all processes and their lives."""

    def __init__(self, owner: str, incarnation: str) -> None:
        """Count from zero."""
        self._prefix = f'{owner} {incarnation}'
        self._count = 0

    def next_name(self, purpose: str) -> str:
        """Return a name that was never used."""
        self._count += 1
        return f'{self._prefix} {self._count} {purpose}'
