"""Seeded rounds of restores, with a caller that watches for routes that vanish."""

import threading
import time
from contextlib import AbstractContextManager
from dataclasses import dataclass, field, replace
from random import Random
from types import TracebackType
from unittest import TestCase

from mimosafork.standins.prepared.documents import RouteEntry
from mimosafork.standins.prepared.rows import Rows
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults

from ..support.functions import function_tests
from ..support.prepared import DESKS, HOST, USUAL_CONFIG
from ..support.restored_fleet import IN_FORCE_WITHIN, Fleet, fleet, status

case = TestCase()

SEED = 1
ROUNDS = 6
MAX_WRITES = 12
MAX_COPIES = 30
MAX_AWAY_S = 1.5
WATCH_INTERVAL_S = 0.02
WAYS = (None, Refusal.RESET, Refusal.SILENT, Refusal.UNAVAILABLE)


@dataclass
class Watcher(AbstractContextManager["Watcher"]):
    """Calls the routes in force at all instances, again and again.

    Attributes
    ----------
    vanished : list of str
        Paths that an instance answered with 404.
    """

    running: Fleet
    paths: list[str]
    vanished: list[str] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> "Watcher":
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stopped.set()
        self.thread.join()

    def watch(self) -> None:
        """Call until stopped."""
        while not self.stopped.wait(WATCH_INTERVAL_S):
            for path in tuple(self.paths):
                for instance in self.running.instances:
                    if status(instance, path) == 404:
                        self.vanished.append(path)


def restore_after_writes(running: Fleet, copies: list[Rows], random: Random) -> None:
    """Write some versions, and go back to one of the last copies in some way."""
    platform = running.platform
    assert platform.config is not None
    for _ in range(random.randrange(MAX_WRITES)):
        platform.configure(platform.config)
        time.sleep(random.uniform(0.0, 0.1))
        copies.append(platform.store.copy_rows())
    down = random.choice(WAYS)
    if down is not None:
        platform.store.set_faults(StoreFaults(down=down))
        time.sleep(random.uniform(0.0, MAX_AWAY_S))
    copy = random.choice(copies[-MAX_COPIES:])
    platform.restore(copy, rewritten=random.random() < 0.7)
    platform.store.set_faults()
    time.sleep(random.uniform(0.0, 0.5))


def test_routes_stay_in_force_through_restores_in_a_row() -> None:
    """Each change after a restore is in force in time, and none before it is undone."""
    random, routes = Random(SEED), list(USUAL_CONFIG.routes)
    with fleet() as running, Watcher(running, ["/safe/1"]) as watcher:
        copies = [running.platform.store.copy_rows()]
        for number in range(ROUNDS):
            restore_after_writes(running, copies, random)
            path = f"/round-{number}/"
            routes.append(RouteEntry(f"r-{number}", path, "safe", DESKS, HOST))
            running.platform.configure(replace(USUAL_CONFIG, routes=tuple(routes)))
            took = running.until_all(lambda e, p=path: status(e, f"{p}1") == 200)  # type: ignore[misc]
            case.assertLess(took, IN_FORCE_WITHIN)
            watcher.paths.append(f"{path}1")
        case.assertEqual([], watcher.vanished)


load_tests = function_tests(__name__)
