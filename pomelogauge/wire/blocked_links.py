"""Blocked links between peers, with which tests simulate partitions."""


class BlockedLinks:
    """Node names and addresses of peers that this process can't reach.

    The set is immutable and replaced as a whole, so that the threads of the
    server and the tasks that own links read it without a lock.
    """

    def __init__(self) -> None:
        """Start with all links open."""
        self.names: frozenset[str] = frozenset()

    def replace(self, names: frozenset[str]) -> None:
        """Block the links to these peers and open all others.

        Parameters
        ----------
        names
            Node names or addresses; empty to open all links.

        """
        self.names = names
