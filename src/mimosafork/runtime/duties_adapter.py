"""Duties under leases, and the suspicions kept in the table service."""

from random import Random

from ..clock import Clock
from ..kernel.context import InstanceIdentity
from ..kernel.messages.base import Effect
from ..kernel.messages.leases import Duty
from ..kernel.messages.orders import ReadState, SendOrder
from ..kernel.messages.quarantine import DropSuspicion, StoreSuspicion
from ..kernel.messages.recovery import FreeHolding, ListHoldings
from ..leases.keeper import LeaseKeeper
from ..leases.task import LeaseTask, Release
from ..leases.view import LeaseView
from ..network.http import HttpClient
from ..orders.budget import WeightBudget
from ..orders.sender import OrderSender
from ..orders.task import OrderTask
from ..quarantine.task import SuspicionTask
from ..recovery.task import CleaningTask
from ..storage.table import Table
from .kernel_task import KernelTask


class DutiesAdapter:
    """Keeps the leases, sends orders, frees holdings and keeps suspicions.

    Parameters
    ----------
    identity : Identity
    table : Table
    http : HttpClient
    clock : Clock
    random : random.Random
        Seeds the source of chance of each task.
    kernel_task : KernelTask
    """

    def __init__(
        self,
        identity: InstanceIdentity,
        table: Table,
        http: HttpClient,
        clock: Clock,
        random: Random,
        kernel_task: KernelTask,
    ) -> None:
        self.view = LeaseView()
        keepers = [
            LeaseKeeper(identity, duty, table, clock, _another(random)) for duty in Duty
        ]
        self.leases = LeaseTask(keepers, clock, self.view, kernel_task.send)
        self.orders = OrderTask(
            OrderSender(http, clock, self.view),
            WeightBudget(identity.instance, table, clock, _another(random)),
            clock,
            kernel_task.send,
        )
        self.cleaning = CleaningTask(http, kernel_task.send)
        self.suspicions = SuspicionTask(
            table, clock, _another(random), kernel_task.send
        )

    def register(self, kernel_task: KernelTask) -> None:
        """Register for orders and holdings."""
        kernel_task.register(SendOrder, self._order)
        kernel_task.register(ReadState, self._order)
        kernel_task.register(ListHoldings, self._clean)
        kernel_task.register(FreeHolding, self._clean)
        kernel_task.register(StoreSuspicion, self._suspect)
        kernel_task.register(DropSuspicion, self._suspect)

    def start(self) -> None:
        """Start the tasks; the leases last, as they set the others to work."""
        self.orders.start()
        self.cleaning.start()
        self.leases.start()
        self.suspicions.start()

    def stop(self) -> None:
        """End the tasks and duties, then give the leases back.

        A released lease is taken without waiting, so nothing may be done under it
        any more: an order that was still under way would meet its successor's.
        """
        self.suspicions.stop()
        self.orders.stop()
        self.cleaning.stop()
        for duty in Duty:
            self.leases.send(Release(duty))
        self.leases.stop()

    def _order(self, effect: Effect) -> None:
        if isinstance(effect, SendOrder | ReadState):
            self.orders.send(effect)

    def _suspect(self, effect: Effect) -> None:
        if isinstance(effect, StoreSuspicion | DropSuspicion):
            self.suspicions.send(effect)

    def _clean(self, effect: Effect) -> None:
        if isinstance(effect, ListHoldings | FreeHolding):
            self.cleaning.send(effect)


def _another(random: Random) -> Random:
    """Return a source of chance of its own: one may not be shared by threads."""
    return Random(random.getrandbits(64))
