"""Tests of calls to services that fail."""

import unittest

from returns.result import Failure, Success

from pomelogauge.model.ids import (
    Address,
    CallName,
    InstanceName,
    RequestId,
    ServiceName,
)
from pomelogauge.model.request import (
    Execution,
    RefusalCode,
    ServiceRequest,
    ServiceSlot,
    SlotOutcome,
)
from pomelogauge.services.ledger import PassThroughLedger
from pomelogauge.services.protocols import ServiceAnswer, ServiceError
from pomelogauge.tasks.messages import ReleaseSlot, RequestServiceSlot
from pomelogauge.tasks.service_call_task import (
    ServiceCallParts,
    ServiceCallTask,
)

from .router_fixtures import LARGE, FakeClock, configuration

REFUSED = Failure(ServiceError('refused', Execution.NOT_RUN))
CUT = Failure(ServiceError('cut', Execution.MAY_HAVE_RUN))
WHOLE = Success(ServiceAnswer(200, b'1'))


class FakeServices:
    """Stands in for the dispatcher and the instances.

    Each step of the script is the outcome of a call to one more instance.
    """

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.avoided: list[tuple[Address, ...]] = []
        self.ends: list[SlotOutcome] = []

    def post(self, message) -> None:
        if isinstance(message, ReleaseSlot):
            self.ends.append(message.end)
        if isinstance(message, RequestServiceSlot):
            self.avoided.append(message.avoid)
            name = f'b-{len(self.avoided)}'
            message.reply.post(
                ServiceSlot(
                    message.request.request,
                    InstanceName(name),
                    Address(f'{name}:1'),
                )
            )

    def call(self, address, ask):
        return self.script.pop(0)


class ServiceCallTaskTest(unittest.TestCase):
    """Guards against calls sent twice and refusals that misstate a run."""

    def run_against(self, services: FakeServices, call: str, key: str = 'k'):
        """Run one call against the script and return its result."""
        request = ServiceRequest(
            RequestId('r-1'), LARGE, ServiceName('books'), CallName(call), key
        )
        parts = ServiceCallParts(
            FakeClock(),
            services,
            services,
            PassThroughLedger(),
            services,
            services,
        )
        return ServiceCallTask(parts, request, b'{}').run(configuration())

    def test_non_idempotent_call_that_may_have_run_is_not_sent_again(
        self,
    ) -> None:
        services = FakeServices(REFUSED, CUT, WHOLE)
        refusal = self.run_against(services, 'pay').failure()
        self.assertEqual(refusal.execution, Execution.MAY_HAVE_RUN)
        self.assertEqual(services.script, [WHOLE])
        self.assertEqual(services.avoided, [(), ('b-1:1',)])

    def test_idempotent_call_is_sent_again_after_any_failure(self) -> None:
        services = FakeServices(CUT, REFUSED, WHOLE)
        answer = self.run_against(services, 'look', '')
        self.assertEqual(answer, WHOLE)
        self.assertEqual(services.ends[-1], SlotOutcome.COMPLETED)

    def test_refusal_states_that_an_earlier_attempt_may_have_run(self) -> None:
        services = FakeServices(CUT, REFUSED, REFUSED)
        refusal = self.run_against(services, 'look').failure()
        self.assertEqual(refusal.execution, Execution.MAY_HAVE_RUN)
        services = FakeServices(REFUSED, REFUSED, REFUSED)
        refusal = self.run_against(services, 'pay').failure()
        self.assertEqual(refusal.execution, Execution.NOT_RUN)

    def test_non_idempotent_call_without_a_key_is_refused(self) -> None:
        refusal = self.run_against(FakeServices(), 'pay', '').failure()
        self.assertEqual(refusal.code, RefusalCode.KEY_MISSING)
