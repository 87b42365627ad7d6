"""The measured cases: configurations of the limiters, the endpoints and the load."""

from __future__ import annotations

from dataclasses import dataclass, field

from scale.model import Effort, Size
from scale.stand_ins.endpoints import EndpointsSpec

# Plans with quotas and the default endpoints; the budget applies to this case.
AS_IS = "as is"
NO_QUOTAS = "no quotas"
REUSED_CONNECTIONS = "kept"  # requests reuse connections to the endpoints
NEW_CONNECTIONS = "dialled"  # each request opens a new connection to the endpoint
WITHOUT_LIMITER = "direct"  # clients send to the endpoints

QUICK_RUN_SECONDS = 0.5
RUN_SECONDS = 1.2
AS_IS_DURATION_FACTOR = 3  # duration of a run of ``AS_IS`` divided by that of another case
QUICK_SERVERS = 60
FAR_COUNTER_ROUND_TRIP_SECONDS = 0.004
# Additional cases for the slopes, which also include the full number of endpoints and the full rate.
SERVER_COUNTS = (60, 500, 1500)
RATE_FACTORS = (0.25, 0.5, 2.0)


@dataclass(frozen=True, slots=True)
class Case:
    """One configuration and its load, measured in several runs."""

    name: str
    servers: int
    rate: float  # requests a second at each limiter
    run_seconds: float
    quotas: bool = True  # False: the plans have no quota, so the limiters do not call the counter
    endpoints: EndpointsSpec = field(default_factory=EndpointsSpec)
    counter_round_trip: float = 0.0002  # seconds, on the network
    direct: bool = False  # True: clients send to the endpoints, without a limiter


def make_cases(size: Size, effort: Effort) -> dict[str, Case]:
    """Return the cases by name."""
    rate = size.rate / size.limiters
    run_seconds = QUICK_RUN_SECONDS if effort.quick else RUN_SECONDS
    servers = min(size.servers, QUICK_SERVERS) if effort.quick else size.servers
    cases = _breakdown_cases(servers, rate, run_seconds, 1 if effort.quick else AS_IS_DURATION_FACTOR)
    if not effort.quick:
        cases += _slope_cases(servers, rate, run_seconds)
    return {case.name: case for case in cases}


def _breakdown_cases(servers: int, rate: float, run_seconds: float, as_is_factor: int) -> list[Case]:
    """Return the cases whose differences in latency are the parts of the added latency."""
    reusing = EndpointsSpec(idle_closing_ports=0, slow_setup_ports=0)
    closing = EndpointsSpec(idle_closing_ports=0, slow_setup_ports=0, keep_alive=False)
    return [
        Case(AS_IS, servers, rate, run_seconds * as_is_factor),
        Case(NO_QUOTAS, servers, rate, run_seconds, quotas=False),
        Case(REUSED_CONNECTIONS, servers, rate, run_seconds, quotas=False, endpoints=reusing),
        Case(NEW_CONNECTIONS, servers, rate, run_seconds, quotas=False, endpoints=closing),
        Case(WITHOUT_LIMITER, servers, rate, run_seconds, quotas=False, endpoints=reusing, direct=True),
    ]


def _slope_cases(servers: int, rate: float, run_seconds: float) -> list[Case]:
    """Return cases that vary the distance of the counter, the number of endpoints or the rate."""
    far = Case(
        "counter 4 ms away", servers, rate, run_seconds, counter_round_trip=FAR_COUNTER_ROUND_TRIP_SECONDS
    )
    fewer = [Case(f"{count} servers", count, rate, run_seconds) for count in SERVER_COUNTS if count < servers]
    rates = [Case(f"{factor:g} of the rate", servers, factor * rate, run_seconds) for factor in RATE_FACTORS]
    return [far, *fewer, *rates]
