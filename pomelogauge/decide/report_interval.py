"""Derives the interval of reports to the owner from the number of instances."""

#: Least seconds between two reports of an instance.
MIN_INTERVAL_S = 0.5
#: The same while a verdict on parts of prompts, or an owner, is awaited.
MIN_URGENT_INTERVAL_S = 0.2
#: Reports that the owner gets in a second at most, of all instances together.
REPORTS_PER_S = 250
#: Missed reports after which an instance no longer counts as living, and
#: seconds for the time-out of the last one.
MISSED_REPORTS = 3
REPORT_DELAY_S = 0.5


def report_interval_s(instances: int) -> float:
    """Return the seconds between two reports of one instance.

    Parameters
    ----------
    instances
        Number of living entry instances.

    """
    return max(MIN_INTERVAL_S, instances / REPORTS_PER_S)


def urgent_interval_s(instances: int) -> float:
    """Return the seconds between two reports while one is urgent.

    Parameters
    ----------
    instances
        Number of living entry instances.

    """
    return max(MIN_URGENT_INTERVAL_S, instances / REPORTS_PER_S)


def heartbeat_timeout_s(instances: int) -> float:
    """Return the seconds without a report after which an instance is dead.

    Parameters
    ----------
    instances
        Number of living entry instances.

    """
    return MISSED_REPORTS * report_interval_s(instances) + REPORT_DELAY_S
