"""Calls to plain services, and the ledger of non-idempotent calls."""
