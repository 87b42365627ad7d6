"""The measured configurations."""

from __future__ import annotations

from dataclasses import dataclass, field

from scale.model import Effort, Size
from scale.stand_ins.endpoints import EndpointsSpec

AS_IS = "as is"  # the configuration that the budget applies to
NO_QUOTAS = "no quotas"
REUSED = "kept"  # connections to the endpoints are reused
CONNECTING = "dialled"  # each request opens a connection to the endpoint
DIRECT = "direct"  # without a limiter

QUICK_RUN_SECONDS = 0.5
RUN_SECONDS = 1.2
AS_IS_RUN_FACTOR = 3  # on the duration of the runs of ``AS_IS``
QUICK_SERVERS = 60
FAR_COUNTER_ROUND_TRIP_SECONDS = 0.004
# For the slopes, in addition to the full count and rate.
SERVER_COUNTS = (60, 500, 1500)
RATE_FACTORS = (0.25, 0.5, 2.0)


@dataclass(frozen=True, slots=True)
class Cell:
    """One configuration with its load; it is measured in several runs."""

    name: str
    servers: int
    rate: float  # requests a second of each limiter
    seconds: float  # of a run
    quotas: bool = True  # False: plans without a quota, and so no counter calls
    endpoints: EndpointsSpec = field(default_factory=EndpointsSpec)
    counter_round_trip: float = 0.0002  # seconds on the network
    direct: bool = False  # without a limiter: clients send to the endpoints


def make_cells(size: Size, effort: Effort) -> dict[str, Cell]:
    """Return the configurations by name."""
    rate = size.rate / size.limiters
    seconds = QUICK_RUN_SECONDS if effort.quick else RUN_SECONDS
    servers = min(size.servers, QUICK_SERVERS) if effort.quick else size.servers
    cells = _breakdown_cells(servers, rate, seconds, 1 if effort.quick else AS_IS_RUN_FACTOR)
    if not effort.quick:
        cells += _slope_cells(servers, rate, seconds)
    return {cell.name: cell for cell in cells}


def _breakdown_cells(servers: int, rate: float, seconds: float, as_is_factor: int) -> list[Cell]:
    """Return the configurations whose differences are the parts of the added latency."""
    reusing = EndpointsSpec(idle_closing_ports=0, slow_setup_ports=0)
    closing = EndpointsSpec(idle_closing_ports=0, slow_setup_ports=0, keep_alive=False)
    return [
        Cell(AS_IS, servers, rate, seconds * as_is_factor),
        Cell(NO_QUOTAS, servers, rate, seconds, quotas=False),
        Cell(REUSED, servers, rate, seconds, quotas=False, endpoints=reusing),
        Cell(CONNECTING, servers, rate, seconds, quotas=False, endpoints=closing),
        Cell(DIRECT, servers, rate, seconds, quotas=False, endpoints=reusing, direct=True),
    ]


def _slope_cells(servers: int, rate: float, seconds: float) -> list[Cell]:
    """Return configurations with other distances, numbers of endpoints and rates."""
    far = Cell("counter 4 ms away", servers, rate, seconds, counter_round_trip=FAR_COUNTER_ROUND_TRIP_SECONDS)
    fewer = [Cell(f"{count} servers", count, rate, seconds) for count in SERVER_COUNTS if count < servers]
    rates = [Cell(f"{factor:g} of the rate", servers, factor * rate, seconds) for factor in RATE_FACTORS]
    return [far, *fewer, *rates]
