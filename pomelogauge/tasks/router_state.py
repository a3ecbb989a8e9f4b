"""State of the router that its tasks for callers may read."""

from dataclasses import dataclass, field

from ..decide.access import Access
from ..model.ids import NO_VERSION, OrganisationName, RequestId
from ..model.manifest import Configuration, Organisation
from ..model.phase import NodePhase
from ..model.request import Refusal, RefusalCode


@dataclass(frozen=True)
class RouterState:
    """Configuration and phase, published by the dispatcher.

    Parameters
    ----------
    access
        Configuration in force, indexed by the keys of callers.
    phase
        Phase of the process; new requests are accepted in ``READY`` only.

    """

    access: Access = field(default_factory=Access)
    phase: NodePhase = NodePhase.STARTING

    @property
    def configuration(self) -> Configuration:
        """Configuration in force; without a version before the first one."""
        return self.access.configuration

    @property
    def organisations(self) -> dict[OrganisationName, Organisation]:
        """Declared organisations by name."""
        declared = self.configuration.manifest.organisations
        return {organisation.name: organisation for organisation in declared}

    @property
    def is_ready(self) -> bool:
        """Whether the router accepts new requests."""
        has_version = self.configuration.version != NO_VERSION
        return has_version and self.phase is NodePhase.READY

    def readiness_refusal(
        self,
        request: RequestId,
        retry_after_s: float,
    ) -> Refusal | None:
        """Return the refusal of a new request; ``None`` when ready."""
        if self.is_ready:
            return None
        return self.not_ready_refusal(request, retry_after_s)

    def not_ready_refusal(
        self, request: RequestId, retry_after_s: float
    ) -> Refusal:
        """Return the refusal by a router that is not ready.

        Parameters
        ----------
        request
            Request that is refused.
        retry_after_s
            Seconds after which the caller may try again.

        """
        code = RefusalCode.CUT_OFF
        reason = 'this router cannot confirm its configuration'
        if self.phase is NodePhase.LEAVING:
            code = RefusalCode.DRAINING
            reason = 'this router is shutting down'
        return Refusal(
            code,
            f'{reason}; send the request to another router',
            retry_after_s=retry_after_s,
            request=request,
        )
