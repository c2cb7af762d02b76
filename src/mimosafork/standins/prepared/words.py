"""The prepared platform's own names, as they stand on the wire."""

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
EXPECT_INSTANCE = "X-Expect-Instance"
EXPECT_VERSION = "X-Expect-Version"
INSTANCE_ID = "X-Instance-Id"
AT_SERVER = "At-Server"
NOT_RUN = "X-Not-Run"
SEAL = "X-Response-Seal"
SERVER_LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
COLD_MS = "X-Cold-Ms"
TENANT = "X-Tenant"
MODEL = "X-Model"
TOKEN_USAGE = "X-Token-Usage"
PROMPT_PREFIX = "X-Prompt-Prefix"
PRIORITY = "X-Request-Priority"
WEIGHT_VERSIONS = "X-Weight-Versions"
HELPERS = "X-Helpers"
LAST_EVENT_ID = "Last-Event-Id"
RETRY_AFTER = "Retry-After"
STORE_ERA = "Store-Era"
AUTHORIZATION = "Authorization"

REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"
ROWS_TX = "/-/rows-tx"
ROWS_GET = "/-/rows-get"
ROWS_FEED = "/-/rows-feed"
ROWS_PARTS = "/-/rows-parts"

TABLE_OPERATOR = "op"
TABLE_SERVERS = "servers"
KEY_CONFIG = "config"
KEY_EVACUATE = "evacuate/"

RECORDED_HEADERS = (
    REQUEST_ID,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    TENANT,
    MODEL,
    TOKEN_USAGE,
    PROMPT_PREFIX,
    PRIORITY,
    HELPERS,
    LAST_EVENT_ID,
    AUTHORIZATION,
)
"""What a run is recorded with; a key in `AUTHORIZATION` must not get there."""
