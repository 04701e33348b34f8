"""Default values of settings and limits.

Times are ``timedelta``; limits on sizes are in bytes.
"""

from datetime import timedelta

# Peers and membership.
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
SILENCE_LIMIT = timedelta(milliseconds=1800)
ZONE_LINKS = 2
MEMBER_LEASE = timedelta(seconds=3)
CLOCK_DRIFT = 0.01

# Ledgers.
LEDGER_COUNT = 4
APPEND_INTERVAL = timedelta(milliseconds=40)
MAX_VALUE_BYTES = 1_000_000
RESULT_RETENTION = timedelta(days=7)

# Tasks.
TASK_LEASE = timedelta(seconds=12)
TASK_RENEWAL = timedelta(seconds=4)
LEASE_MARGIN = timedelta(seconds=2)
MAX_PAYLOAD_BYTES = 256_000
MAX_RESULT_BYTES = 256_000
MAX_TOTAL_RESULT_BYTES = 1_000_000

# Requests.
REQUEST_TIMEOUT = timedelta(seconds=10)
QUEUE_LIMIT = 1000
MAX_BODY_BYTES = 1_000_000
# How long the HTTP server keeps an idle connection.
KEEP_ALIVE = timedelta(seconds=5)

# Configuration.
WATCH_WAIT = timedelta(seconds=30)
WATCHERS_PER_ZONE = 2
HISTORY_LIMIT = 2000
READER_LAG_LIMIT = 1000
WATCH_LIMIT = 500
RELAY_INTERVAL = timedelta(milliseconds=500)
RESOLVE_TIMEOUT = timedelta(seconds=10)
MAX_RESOURCE_BYTES = 65_536
DELETION_RETENTION = timedelta(days=1)

# Placement weights that apply if no policy is declared.
WEIGHTS = {
    "best_fit": 1.0,
    "balance": 2.0,
    "keep_accelerators": 2.0,
    "spread": 1.0,
    "affinity": 1.0,
}

# Shutdown.
SHUTDOWN_GRACE = timedelta(seconds=30)
# Time for the balancer to detect that a daemon is no longer ready.
DRAIN_DELAY = timedelta(seconds=2)
