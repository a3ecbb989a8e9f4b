"""Names of the parts of the system in log messages."""

from enum import StrEnum


class Part(StrEnum):
    """Part of the system; the value is the prefix of its log messages."""

    ROUTER = 'router'
    DISPATCHER = 'dispatcher'
    EXCHANGE = 'exchange'
    MEMBERSHIP = 'membership'
    CONFIGURATION = 'configuration'
    LEASE = 'lease'
    SHARD = 'shard'
    ENGINE_WATCH = 'engine watch'
    GRANTS = 'grants'
    SHUTDOWN = 'shutdown'
    PLATFORM = 'platform'
    CALLERS = 'callers'
    CALLS = 'calls'
    METRICS = 'metrics'
    ENTRY = 'entry'
    REQUEST = 'request'
    CHOICE = 'choice'
    GROUPS = 'groups'
    STORE = 'store'
    TASK = 'task'
