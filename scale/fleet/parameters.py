"""Parameters of the simulated fleet: figures stated by the operators, unless marked as assumed.

This module does not import the decisions, so that a worker can import them from another checkout.
"""

from __future__ import annotations

from dataclasses import dataclass

# Limiters. The timeouts are those of the real limiter.
COUNTER_TIMEOUT_SECONDS = 0.03
CONNECT_TIMEOUT_SECONDS = 0.25
MAX_ATTEMPTS = 4  # per request
MAX_RETRY_AFTER_SECONDS = 1.0
# Assumed. For this time after a machine fails, attempts use open connections and get no response; later
# attempts fail to connect. Individual connections are not modelled.
CONNECTION_LIFETIME_AFTER_FAILURE_SECONDS = 1.0

# Endpoints. The operators state three cores, of which the stated work would use a third. With two cores, a
# small factor on the work gives the target utilization, and the work of a class stays in the stated range.
ENDPOINT_CORES = 2
ENDPOINT_QUEUE_LIMIT = 40  # requests that may wait at an endpoint (assumed)
TARGET_UTILIZATION = 0.5  # fraction of the endpoints' capacity that usage within the quotas takes
INITIAL_CAPACITY_FRACTION = 0.3  # fraction of the full capacity just after an endpoint's start
ENDPOINT_WARM_UP_SECONDS = 12.0  # time from an endpoint's start to its full capacity
OVERLOAD_FACTOR = 2.5  # an endpoint that is warming up fails under more than this multiple of its capacity
OVERLOAD_WINDOW_SECONDS = 1.0  # window over which arriving work is summed to detect overload
ENDPOINT_RESTART_GROUPS = 3  # number of groups in which the endpoints of a returning zone start (assumed)
ENDPOINT_RESTART_GROUP_INTERVAL_SECONDS = 1.0  # interval between the starts of two groups (assumed)
CELL_SIZE = 4  # endpoints per cell, all in one zone

# One-way network delays, as the range over all pairs.
SAME_ZONE_DELAY_SECONDS = (0.0001, 0.00033)
OTHER_ZONE_DELAY_SECONDS = (0.0014, 0.0026)
# Assumed: at 15 ms or more one way, every counter call from the far region would time out.
OTHER_REGION_DELAY_SECONDS = (0.008, 0.010)

# Delays after faults and changes of the endpoint list, as ranges.
NOTIFICATION_DELAY_SECONDS = (0.65, 4.8)  # time from a change to the notification of a limiter
RESTART_SECONDS = (1.4, 8.0)  # time from the kill of a limiter to its restart
FAILOVER_SECONDS = (1.2, 3.7)  # time from the kill of a limiter until clients avoid it

# Clients.
# Clients start at this time. Limiters start at random times before it, so that their timers do not coincide.
CLIENT_START_SECONDS = 1.0
CLIENT_RETRY_DELAY_SECONDS = (0.03, 0.24)  # before a client's only retry of a request
CLIENT_RETRY_PROBABILITY = 0.5
RESPONSE_GRACE_SECONDS = 0.05  # a final response counts as in time until this long after the deadline
MEAN_UNITS = 2.5
MAX_UNITS = 4  # a request has 1 to 4 units, uniformly distributed
# Probability that the charge of a request is drawn one unit above or below its estimate. The charge is then
# limited to the range from 1 to ``MAX_UNITS``.
WRONG_ESTIMATE_PROBABILITY = 0.3
# Mean and standard deviation of the logarithm of a request's work divided by its expected work.
WORK_LOGNORMAL_MU_SIGMA = (-0.08, 0.4)
BURST_RATE_FACTOR = (2.0, 7.9)  # rate in a burst divided by the rate of the quota
BURST_SECONDS = (0.61, 3.7)
BURST_INTERVAL_SECONDS = 40.0  # mean time between two bursts of a tenant
LIMITER_ROTATION_SECONDS = (8.1, 23.0)  # time after which a tenant prefers the next limiter of its set

# Tenants: fractions of all tenants, and the utilization of their quotas.
VOLUME_PLAN_FRACTION = 0.11
OVER_QUOTA_FRACTION = 0.10
NEAR_QUOTA_FRACTION = 0.17
BURSTY_FRACTION = 0.15
QUOTA_UTILIZATION = 0.5  # offered units divided by the sum of the quotas, which are scaled to give it

# The shared counter, with the rate that it guarantees.
COUNTER_CALLS_PER_SECOND = 930.0
COUNTER_PARTITIONS = 1


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A request class."""

    name: str
    fraction: float  # fraction of all requests
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
