"""The owner of all groups in simulated time, with seeded random faults."""

import logging
import unittest
from dataclasses import replace

from returns.result import Failure, Result

from pomelogauge.entry.messages import (
    Order,
    OrderKind,
    OrderOutcome,
    PartsRestored,
)
from pomelogauge.entry.quarantine_record import QUARANTINE_KEY
from pomelogauge.entry.store import StoreError, StoreFault, Table
from pomelogauge.model.fleet import MembershipState
from pomelogauge.model.ids import PromptPart
from pomelogauge.platform.translator import RowTranslator

from .entry_fakes import BIG
from .owner_simulation import Simulation

SEEDS = 24
STEPS = 400
FAULT_PROBABILITY = 0.08
#: Seconds after a fault in which the system has to serve again.
RECOVERY_S = 12


class RecordedJoins:
    """Records to which targets orders to join are sent from now on."""

    def __init__(self, simulation: Simulation) -> None:
        self.targets: list[str] = []
        self._send = simulation.send
        simulation.send = self.send

    def send(self, order: Order) -> OrderOutcome:
        if order.kind is OrderKind.JOIN:
            self.targets.append(order.target)
        return self._send(order)


class OwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_for(self, simulation: Simulation, seconds: float) -> None:
        """Run as many steps as make up the simulated seconds."""
        for _ in range(round(seconds / 0.25)):
            simulation.step()

    def test_groups_are_formed_and_opened(self) -> None:
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        self.assertEqual(simulation.groups_open(), 2)

    def test_a_lost_member_is_replaced_by_a_spare_target(self) -> None:
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        lost = next(
            sim
            for sim in simulation.targets.values()
            if sim.membership is not None and sim.membership.rank
        )
        lost.is_down = True
        self.run_for(simulation, 10)
        self.assertEqual(simulation.groups_open(), 2)

    def test_no_group_is_formed_with_a_target_that_missed_a_probe(self) -> None:
        """Guards against groups that fail at once after each crash.

        A crashed target is listed until its row expires.
        """
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                self.run_for(simulation, 5)
                lost = next(
                    sim
                    for sim in simulation.targets.values()
                    if sim.membership is not None and sim.membership.rank
                )
                head = simulation.targets[lost.members[0]]
                joins = RecordedJoins(simulation)
                lost.is_down = True
                simulation.suspect(head)
                self.run_for(simulation, 10)
                self.assertNotIn(lost.name, joins.targets)
                self.assertEqual(simulation.groups_open(), 2)
                self.assertEqual(simulation.violations, [])

    def test_a_group_is_formed_again_after_two_losses_at_once(self) -> None:
        """Guards against a model that starves beside another after losses.

        A member of the larger model's group and its spare are lost. The host
        of the other spare has the smaller model.
        """
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                self.run_for(simulation, 5)
                larger = [
                    sim
                    for sim in simulation.targets.values()
                    if sim.model == BIG and not sim.is_open()
                ]
                member = next(sim for sim in larger if sim.membership)
                spare = next(sim for sim in larger if not sim.membership)
                member.is_down = spare.is_down = True
                self.run_for(simulation, 30)
                self.assertEqual(simulation.groups_open(), 2)
                self.assertEqual(simulation.violations, [])

    def test_groups_serve_again_in_time_after_two_changes_of_the_owner(
        self,
    ) -> None:
        """Guards against a new owner that waits for a member that has left.

        The record of a group that was given up is still there, and its members
        but one still list themselves in it.
        """
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                self.run_for(simulation, 6)
                for sim in simulation.targets.values():
                    if sim.membership is not None and sim.membership.rank:
                        simulation.restart(sim)
                self.run_for(simulation, 1)
                simulation.replace_owner(keeps=False)
                self.run_for(simulation, 3)
                simulation.replace_owner(keeps=False)
                self.run_for(simulation, RECOVERY_S)
                self.assertEqual(simulation.groups_open(), 2)
                self.assertEqual(simulation.violations, [])

    def test_a_new_owner_keeps_running_groups(self) -> None:
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        epochs_before = [sim.top_epoch for sim in simulation.targets.values()]
        simulation.owners = [simulation.owner('n9')]
        self.run_for(simulation, 10)
        epochs_after = [sim.top_epoch for sim in simulation.targets.values()]
        self.assertEqual(epochs_before, epochs_after)

    def test_an_instance_that_starts_learns_the_stored_quarantine(self) -> None:
        """Guards against a started instance that sends on deadly parts.

        The owner does not answer it, as none is known yet after the last one
        was killed.
        """
        parts = frozenset((PromptPart('p'),))
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        simulation.store.put(
            Table.QUARANTINE,
            QUARANTINE_KEY,
            RowTranslator().encode_quarantine(parts),
        )
        started = simulation.owner('n9')
        simulation.store.faults.append(StoreFault.UNAVAILABLE)
        for _ in range(6):
            simulation.clock.at_s += 0.25
            started.on_timer()
        self.assertEqual(simulation.restored.posted, [PartsRestored(parts)])

    def test_a_group_whose_removal_may_come_later_is_not_opened(self) -> None:
        """Guards against a group that serves without a record.

        The removal of its record has no answer and is carried out later. Its
        members carry out a late order to join meanwhile.
        """
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        head = next(sim for sim in simulation.targets.values() if sim.is_open())
        members = [simulation.targets[name] for name in head.members]
        joined = [
            replace(sim.membership, state=MembershipState.READY)
            for sim in members
        ]
        commit = simulation.store.commit
        removals = []

        def lose_removal(expected: tuple, written: tuple) -> Result:
            if removals or any(row.body is not None for row in written):
                return commit(expected, written)
            removals.append((expected, written))
            return Failure(StoreError(StoreFault.INDETERMINATE, 'lost'))

        simulation.store.commit = lose_removal
        members[-1].membership = None
        while not removals:
            simulation.step()
        for sim, membership in zip(members, joined, strict=True):
            sim.membership = membership
        self.run_for(simulation, 2)
        commit(*removals[0])
        simulation.owners = [simulation.owner('n9')]
        self.run_for(simulation, 10)
        self.assertEqual(simulation.violations, [])
        self.assertEqual(simulation.groups_open(), 2)

    def test_no_target_joins_a_second_group_while_its_head_is_open(
        self,
    ) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                for _ in range(STEPS):
                    if simulation.rng.random() < FAULT_PROBABILITY:
                        simulation.fault()
                    simulation.step()
                self.assertEqual(simulation.violations, [])

    def test_members_of_a_group_without_a_readable_record_are_held(
        self,
    ) -> None:
        """Guards against a second group of targets that list themselves open.

        Their record could not be decoded, so that a new owner left it out.
        """
        simulation = Simulation(0)
        self.run_for(simulation, 5)
        store = simulation.store
        for table, name in tuple(store.rows):
            if table is Table.GROUPS:
                store.put(table, name, b'{}')
        simulation.owners = [simulation.owner('n9')]
        self.run_for(simulation, 10)
        self.assertEqual(simulation.violations, [])
        self.assertEqual(simulation.groups_open(), 2)

    def test_members_of_a_head_that_may_open_are_held(self) -> None:
        """Guards against a second group of targets whose head opens late.

        The record of their group can't be decoded, and the next owner plans
        them before the order to open of the first one is carried out.
        """
        simulation = Simulation(0)
        first_owner = simulation.owners[0]
        late_s = {OrderKind.OPEN: 6.0, OrderKind.JOIN: 8.0}
        late: list[Order] = []

        def send(order: Order) -> OrderOutcome:
            sim = simulation.targets[order.target]
            is_first = simulation.owners[0] is first_owner
            is_late = order.kind is (
                OrderKind.OPEN if is_first else OrderKind.JOIN
            )
            if not is_late or sim.name not in {'t4', 't5'}:
                return simulation.carry_out(sim, order)
            due_s = simulation.clock.at_s + late_s[order.kind]
            sim.delayed_orders.append((due_s, order))
            late.append(order)
            return OrderOutcome.NO_ANSWER

        simulation.send = send
        while not late:
            simulation.step()
        group = late[0].group
        self.assertEqual(late[0].target, 't4')
        simulation.store.put(Table.GROUPS, group, b'{}')
        simulation.owners = [simulation.owner('n9')]
        self.run_for(simulation, 20)
        self.assertEqual(simulation.violations, [])

    def test_no_target_behind_a_refusing_path_joins_a_second_group(
        self,
    ) -> None:
        """Guards against taking a refused connection for a crash."""
        violations = {}
        for seed in range(SEEDS):
            simulation = Simulation(seed, refuses=True)
            for _ in range(STEPS):
                if simulation.rng.random() < FAULT_PROBABILITY:
                    simulation.fault()
                simulation.step()
            if simulation.violations:
                violations[seed] = simulation.violations
        self.assertEqual(violations, {})

    def test_groups_are_formed_again_after_all_faults(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                for _ in range(STEPS // 4):
                    if simulation.rng.random() < FAULT_PROBABILITY:
                        simulation.fault()
                    simulation.step()
                simulation.heal()
                self.run_for(simulation, 60)
                self.assertGreaterEqual(simulation.groups_open(), 2)

    def test_no_join_that_may_come_late_is_followed_by_another(self) -> None:
        """Guards against a second group of a target that joins its first late.

        It refuses the order to leave as it is not a member yet, and is planned
        for a second group. The next owner opens the first one when all its
        members report it, and the second order to join is late as well.
        """
        simulation = Simulation(0)
        late_s = {0: 8.0, 1: 6.5}
        joins: list[Order] = []

        def send(order: Order) -> OrderOutcome:
            sim = simulation.targets[order.target]
            is_join = order.kind is OrderKind.JOIN
            if is_join and order.target == 't5' and len(joins) in late_s:
                due_s = simulation.clock.at_s + late_s[len(joins)]
                sim.delayed_orders.append((due_s, order))
                joins.append(order)
                return OrderOutcome.NO_ANSWER
            is_first_owner = simulation.owners[0] is first_owner
            if order.kind is OrderKind.LEAVE and sim.name == 't4':
                if is_first_owner:
                    return OrderOutcome.NO_ANSWER
            return simulation.carry_out(sim, order)

        first_owner = simulation.owners[0]
        simulation.send = send
        while len(joins) < len(late_s):
            simulation.step()
            self.assertLess(simulation.clock.at_s, 200)
        simulation.owners = [simulation.owner('n9')]
        self.run_for(simulation, 20)
        self.assertEqual(simulation.violations, [])
