"""Cuts of links between peers, for tests of partitions."""


class BlockedLinks:
    """Names and addresses of peers to which this process has no link.

    The set is frozen and replaced as a whole, so that the threads of the
    server and the tasks that own links read it without a lock.
    """

    def __init__(self) -> None:
        """Start without cuts."""
        self.names: frozenset[str] = frozenset()

    def replace(self, names: frozenset[str]) -> None:
        """Take a new set of names."""
        self.names = names
