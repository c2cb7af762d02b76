"""HTTP statuses of problems."""

from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.server.problems import STATUSES
from tests.support.functions import function_tests


def test_every_problem_has_a_status_of_its_own_choice() -> None:
    """A caller whose draft may have run gets 500, which its library sends again.

    A problem that was added to the kernel had no status and fell back to that of
    a fault in the program.
    """
    missing = {code.value for code in set(ProblemCode) - set(STATUSES)}
    assert not missing, missing


load_tests = function_tests(__name__)
