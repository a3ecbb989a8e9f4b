"""Tests of calls to plain services that fail."""

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
    """The dispatcher and the instances, one scripted outcome each."""

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
    def run_against(self, services: FakeServices, call: str, key: str = 'k'):
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

    def test_never_repeats_what_may_have_run(self) -> None:
        services = FakeServices(REFUSED, CUT, WHOLE)
        refusal = self.run_against(services, 'pay').failure()
        self.assertEqual(refusal.execution, Execution.MAY_HAVE_RUN)
        self.assertEqual(services.script, [WHOLE])
        self.assertEqual(services.avoided, [(), ('b-1:1',)])

    def test_repeats_what_may_be_repeated(self) -> None:
        services = FakeServices(CUT, REFUSED, WHOLE)
        answer = self.run_against(services, 'look', '')
        self.assertEqual(answer, WHOLE)
        self.assertEqual(services.ends[-1], SlotOutcome.COMPLETED)

    def test_keeps_the_truth_of_an_earlier_try(self) -> None:
        services = FakeServices(CUT, REFUSED, REFUSED)
        refusal = self.run_against(services, 'look').failure()
        self.assertEqual(refusal.execution, Execution.MAY_HAVE_RUN)
        services = FakeServices(REFUSED, REFUSED, REFUSED)
        refusal = self.run_against(services, 'pay').failure()
        self.assertEqual(refusal.execution, Execution.NOT_RUN)

    def test_asks_for_a_key(self) -> None:
        refusal = self.run_against(FakeServices(), 'pay', '').failure()
        self.assertEqual(refusal.code, RefusalCode.KEY_MISSING)
