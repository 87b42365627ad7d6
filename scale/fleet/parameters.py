"""Parameters of the simulated fleet: the operators' figures, unless marked as assumed.

This module does not import the decisions, so that a worker can import them from another checkout.
"""

from __future__ import annotations

from dataclasses import dataclass

# Limiters, with the timeouts of the real one.
COUNTER_TIMEOUT_SECONDS = 0.03
CONNECT_TIMEOUT_SECONDS = 0.25
MAX_ATTEMPTS = 4  # of a request
MAX_RETRY_AFTER_SECONDS = 1.0
# Assumed: the time after the failure of a machine in which attempts use open connections and get no response;
# later attempts fail to connect. Single connections are not modelled.
CONNECTION_LIFETIME_AFTER_FAILURE_SECONDS = 1.0

# Endpoints. Two cores in place of the operators' three, which would be used to a third by the stated work. So
# the work of a class stays within the stated range, and a small factor gives the utilization.
ENDPOINT_CORES = 2
ENDPOINT_QUEUE_LIMIT = 40  # requests that may wait at an endpoint (assumed)
TARGET_UTILIZATION = 0.5  # fraction of the endpoints' capacity for the usage within the quotas
INITIAL_CAPACITY_FRACTION = 0.3  # of the full capacity, after a start
ENDPOINT_WARM_UP_SECONDS = 12.0  # from a start to the full capacity
OVERLOAD_FACTOR = 2.5  # of the present capacity; an endpoint that is warming up fails beyond it
OVERLOAD_WINDOW_SECONDS = 1.0  # over which the arriving work is added up
BOOT_GROUPS = 3  # of the endpoints of a returning zone (assumed)
BOOT_GROUP_INTERVAL_SECONDS = 1.0  # between two groups (assumed)
CELL_SIZE = 4  # endpoints of one zone in a cell

# One-way delays: the range of all pairs.
SAME_ZONE_DELAY_SECONDS = (0.0001, 0.00033)
OTHER_ZONE_DELAY_SECONDS = (0.0014, 0.0026)
# Assumed: with 15 ms one way or more every call of the far region to the counter would time out.
OTHER_REGION_DELAY_SECONDS = (0.008, 0.010)

# Faults, as ranges.
NOTIFICATION_DELAY_SECONDS = (0.65, 4.8)  # from a change to the notification of a limiter
RESTART_SECONDS = (1.4, 8.0)  # from the kill of a limiter to its restart
FAILOVER_SECONDS = (1.2, 3.7)  # from the kill of a limiter until no requests are sent to it

# Clients.
CLIENT_START_SECONDS = 1.0  # the limiters start before, at different times, so that their timers differ
CLIENT_RETRY_DELAY_SECONDS = (0.03, 0.24)  # before the only retry of a client
CLIENT_RETRY_PROBABILITY = 0.5
RESPONSE_GRACE_SECONDS = 0.05  # after the deadline within which a final response is in time
MEAN_UNITS = 2.5
MAX_UNITS = 4  # a request has 1 to 4 units, uniform
WRONG_ESTIMATE_PROBABILITY = 0.3  # of a request whose charged units differ from its estimate
WORK_LOGNORMAL_MU_SIGMA = (-0.08, 0.4)  # of the logarithm of a request's work over its expected work
BURST_RATE_FACTOR = (2.0, 7.9)  # on the quota
BURST_SECONDS = (0.61, 3.7)
BURST_INTERVAL_SECONDS = 40.0  # mean time between two bursts of a tenant
LIMITER_ROTATION_SECONDS = (8.1, 23.0)  # until a tenant prefers another limiter of its set

# Tenants.
VOLUME_PLAN_FRACTION = 0.11
OVER_QUOTA_FRACTION = 0.10
NEAR_QUOTA_FRACTION = 0.17
BURSTY_FRACTION = 0.15
QUOTA_UTILIZATION = 0.5  # offered units divided by the sum of the quotas, which it scales to the rate

# The shared counter: the guaranteed rate.
COUNTER_CALLS_PER_SECOND = 930.0
COUNTER_PARTITIONS = 1


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A request class."""

    name: str
    fraction: float  # of the requests
    work: float  # seconds of one core
    latency_objective: float  # seconds
    deadline: float  # seconds; the longest timeout of a client
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
