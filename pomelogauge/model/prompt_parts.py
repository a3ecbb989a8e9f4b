"""Parts of prompts that crash targets, as instances tell each other of them."""

from dataclasses import dataclass

from .ids import PromptPart, TargetName


@dataclass(frozen=True, order=True)
class PartCrash:
    """A target that was lost while it answered a request with a part.

    The part need not be the cause: all requests that the target was answering
    then are lost.

    Parameters
    ----------
    part
        The part.
    target
        The target.
    started_at_ms
        Start of the target that was lost, in Unix milliseconds.

    """

    part: PromptPart
    target: TargetName
    started_at_ms: int


@dataclass(frozen=True)
class PartEvidence:
    """What an instance has seen of parts since its last report.

    Parameters
    ----------
    crashes
        Targets that were lost under parts that it had not served lately.
    served
        Suspected or quarantined parts that it has served lately.

    """

    crashes: frozenset[PartCrash] = frozenset()
    served: frozenset[PromptPart] = frozenset()

    def __or__(self, other: 'PartEvidence') -> 'PartEvidence':
        """Return both together."""
        return PartEvidence(
            self.crashes | other.crashes, self.served | other.served
        )


@dataclass(frozen=True)
class PartVerdicts:
    """What the owner has concluded from the crashes of all instances.

    Parameters
    ----------
    suspected
        Parts under which several targets crashed. Requests that were sent to
        a target already are not sent to another one.
    quarantined
        Parts that crash targets. Requests with one are not sent to any.

    """

    suspected: frozenset[PromptPart] = frozenset()
    quarantined: frozenset[PromptPart] = frozenset()
