"""Events and metrics of the order in which waiting calls are served."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 2700

ACCOUNT_RANKED_LAST = Event(
    2701,
    "account-ranked-last",
    Level.WARNING,
    "calls of account {account} to {service} go behind those of other accounts",
    "Calls wait, and the account has used more of the recent work of this instance "
    "than it may without a penalty, by `steps` sixteenths of that. `accounts` is "
    "the number of accounts whose calls wait.",
    "None if it floods. If it should get more, add endpoints.",
)
ACCOUNT_WITHIN_SHARE = Event(
    2702,
    "account-within-share",
    Level.INFO,
    "calls of account {account} to {service} no longer go behind others",
    "No call of it waited behind other accounts' calls for ten seconds, after it had "
    "done so for `for_ms`.",
    "None.",
)

ACCOUNTS_TRACKED = Instrument(
    "mimosafork.accounts.tracked",
    Kind.OBSERVABLE_GAUGE,
    "{account}",
    "Accounts whose recent work is counted, by service, and those of them whose calls "
    "go behind others.",
    ("service", "state"),
)
