"""What callers' tasks may read of the router."""

from dataclasses import dataclass, field

from ..decide.access import Access
from ..model.ids import NO_VERSION, OrganisationName, RequestId
from ..model.manifest import Configuration, Organisation
from ..model.peers import NodePhase
from ..model.request import Refusal, RefusalCode


@dataclass(frozen=True)
class RouterState:
    """Configuration and phase, published by the dispatcher.

    Parameters
    ----------
    access
        Configuration in force, indexed by key.
    phase
        Whether the router takes new work.

    """

    access: Access = field(default_factory=Access)
    phase: NodePhase = NodePhase.STARTING

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self.access.configuration

    @property
    def organisations(self) -> dict[OrganisationName, Organisation]:
        """Organisations by name."""
        declared = self.configuration.manifest.organisations
        return {organisation.name: organisation for organisation in declared}

    @property
    def is_ready(self) -> bool:
        """Whether the router takes new work."""
        has_version = self.configuration.version != NO_VERSION
        return has_version and self.phase is NodePhase.READY

    def readiness_refusal(
        self,
        request: RequestId,
        retry_after_s: float,
    ) -> Refusal | None:
        """Return why the router takes no new work; ``None`` if it does."""
        if self.is_ready:
            return None
        return self.not_ready_refusal(request, retry_after_s)

    def not_ready_refusal(
        self, request: RequestId, retry_after_s: float
    ) -> Refusal:
        """Return the refusal of a router that takes no new work."""
        code = RefusalCode.CUT_OFF
        reason = 'this entry can not confirm its configuration'
        if self.phase is NodePhase.LEAVING:
            code = RefusalCode.DRAINING
            reason = 'this entry is leaving'
        return Refusal(
            code,
            f'{reason}; ask another entry',
            retry_after_s=retry_after_s,
            request=request,
        )
