"""Has a test fail for a fault in the code that the product logs and survives."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from mimosafork.telemetry.catalogue.gateway import INTAKE_FAULT
from mimosafork.telemetry.catalogue.lifecycle import EFFECT_FAULT, KERNEL_FAULT
from mimosafork.telemetry.logs import PACKAGE_LOGGER
from mimosafork.telemetry.messages import EventMessage

SURVIVED = (KERNEL_FAULT, EFFECT_FAULT, INTAKE_FAULT)


class FaultWatch(logging.Handler):
    """Keeps what was raised and survived, as the log tells it."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[BaseException] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the exception of a record that tells of one."""
        message = record.msg
        if isinstance(message, EventMessage) and message.event in SURVIVED:
            assert record.exc_info is not None and record.exc_info[1] is not None
            self.found.append(record.exc_info[1])


WATCH = FaultWatch()


@contextmanager
def no_hidden_faults() -> Iterator[None]:
    """Fail with the first fault that the block hides in the log.

    The kernel goes on after a fault in a plug-in; without this, no test of a plug-in
    that works by messages would notice one.
    """
    logger = logging.getLogger(PACKAGE_LOGGER)
    logger.addHandler(WATCH)
    try:
        with expected_faults() as found:
            yield
    finally:
        logger.removeHandler(WATCH)
    if found:
        raise found[0]


@contextmanager
def expected_faults() -> Iterator[list[BaseException]]:
    """Give what the block raises and survives, in order; the test looks at it."""
    before, WATCH.found = WATCH.found, []
    try:
        yield WATCH.found
    finally:
        WATCH.found = before
