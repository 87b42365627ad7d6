"""What the simulated fleet is made of: the operators' figures, unless marked as assumed.

Nothing here imports the decisions, so that a worker may take them from another checkout.
"""

from __future__ import annotations

from dataclasses import dataclass

# Limiters: time-outs in seconds, as in the real one.
COUNTER_TIMEOUT = 0.03
CONNECT_TIMEOUT = 0.25
MAX_ATTEMPTS = 4  # of a request
MAX_RETRY_AFTER = 1.0  # seconds
# Assumed: so many seconds after a machine fell silent attempts still go out on open connections and hear
# nothing; from then on they are connected anew, in vain. Connections are not modelled one by one.
CONNECTION_LIFETIME_AFTER_LOSS = 1.0

# Endpoints. Two cores, not the operators' three: with those and the stated work the fleet would be a third
# busy. So the work of a class stays in the stated range; the rest of the way to the utilization is scaled.
ENDPOINT_CORES = 2
ENDPOINT_QUEUE_LIMIT = 40  # requests that may wait at an endpoint (assumed)
TARGET_UTILIZATION = 0.5  # share of the endpoints' capacity that use inside the quotas takes
INITIAL_CAPACITY = 0.3  # share of its capacity that an endpoint has when it starts
WARM_UP_TIME = 12.0  # seconds until it has all of it
OVERLOAD_MULTIPLE = 2.5  # times its capacity of the moment; an endpoint that warms up fails beyond it
OVERLOAD_WINDOW = 1.0  # seconds over which the arriving work is summed up for that
BOOT_GROUPS = 3  # in which the endpoints of a returning zone start (assumed)
BOOT_GROUP_INTERVAL = 1.0  # seconds between two groups (assumed)
CELL_SIZE = 4  # endpoints of one zone in a cell

# One-way delays in seconds: the range of all pairs.
SAME_ZONE_DELAY = (0.0001, 0.00033)
OTHER_ZONE_DELAY = (0.0014, 0.0026)
# Assumed: at 15 ms one way and more the far region could not use a counter that is given up after 30 ms.
OTHER_REGION_DELAY = (0.008, 0.010)

# Faults, as ranges in seconds.
NOTIFICATION_DELAY = (0.65, 4.8)  # until discovery has notified a limiter of a change
RESTART_TIME = (1.4, 8.0)  # that a killed limiter is away
FAILOVER_TIME = (1.2, 3.7)  # that requests still go to a dead limiter

# Clients.
CLIENT_START = 1.0  # seconds: the limiters start before, one by one, so that their timers do not coincide
CLIENT_RETRY_DELAY = (0.03, 0.24)  # seconds until the one retry of a client
CLIENT_RETRY_PROBABILITY = 0.5
ANSWER_GRACE = 0.05  # seconds past the deadline that a final answer may come
MEAN_UNITS = 2.5
MAX_UNITS = 4  # a request has 1 to 4 units, each as likely
WRONG_ESTIMATE_PROBABILITY = 0.3  # that a request's units differ from what it turns out to cost
WORK_VARIATION = (-0.08, 0.4)  # mu and sigma of the logarithm of a request's work over its expected work
BURST_RATE = (2.0, 7.9)  # times the quota
BURST_LENGTH = (0.61, 3.7)  # seconds
BURST_INTERVAL = 40.0  # mean seconds between two bursts of a tenant
LIMITER_ROTATION = (8.1, 23.0)  # seconds until another limiter of a tenant's set is the busiest

# Tenants.
VOLUME_PLAN_SHARE = 0.11
OVER_QUOTA_SHARE = 0.10
NEAR_QUOTA_SHARE = 0.17
BURSTY_SHARE = 0.15
QUOTA_UTILIZATION = 0.5  # units asked for over the sum of the quotas: it scales the quotas to the rate

# The shared counter: the least that the operators state.
COUNTER_CAPACITY = 930.0  # calls a second
COUNTER_PARTITIONS = 1


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A request class."""

    name: str
    share: float  # of the requests
    work: float  # seconds of one core
    latency_objective: float  # seconds
    deadline: float  # seconds after which a client gives up
    priority_weight: int
    late_weight: float
    needs_idempotency_key: bool = False
    deduplication_window: float = 0.0  # seconds


REQUEST_KINDS = (
    RequestKind("loan-status", 0.38, 0.108, 0.75, 2.0, 2, 0.1),
    RequestKind("offer-quote", 0.35, 0.108, 0.80, 3.0, 3, 0.2),
    RequestKind(
        "loan-apply", 0.27, 0.071, 0.60, 1.5, 2, 0.0, needs_idempotency_key=True, deduplication_window=1.5
    ),
)
