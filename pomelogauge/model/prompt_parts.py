"""Parts of prompts that crash targets, as instances tell each other of them."""

from dataclasses import dataclass, replace

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
    age_s
        Seconds since the loss.
    others_answered
        Whether another request has been answered since. Where none is, all
        targets may be lost, and the part says little.

    """

    part: PromptPart
    target: TargetName
    started_at_ms: int
    age_s: float = 0
    others_answered: bool = True

    def aged(self, seconds: float) -> 'PartCrash':
        """Return the same crash some seconds later."""
        return replace(self, age_s=self.age_s + seconds)


@dataclass(frozen=True, order=True)
class PartService:
    """A request with a part that a target answered, wholly or for some time.

    Parameters
    ----------
    part
        The part.
    age_s
        Seconds since the answer began.

    """

    part: PromptPart
    age_s: float = 0

    def aged(self, seconds: float) -> 'PartService':
        """Return the same service some seconds later."""
        return replace(self, age_s=self.age_s + seconds)


@dataclass(frozen=True)
class PartEvidence:
    """What an instance has seen of parts since its last report.

    Parameters
    ----------
    crashes
        Targets that were lost under parts that it had not served since.
    served
        Latest service of suspected or quarantined parts.

    """

    crashes: frozenset[PartCrash] = frozenset()
    served: frozenset[PartService] = frozenset()

    def aged(self, seconds: float) -> 'PartEvidence':
        """Return the same evidence some seconds later."""
        return PartEvidence(
            frozenset(crash.aged(seconds) for crash in self.crashes),
            frozenset(service.aged(seconds) for service in self.served),
        )

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
