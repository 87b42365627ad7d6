"""The figures of the messages: bytes of each, rates of the calls, and traffic at the size."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import asdict, dataclass, replace
from statistics import mean, median

from quota_gateway.net.discovery.watch_event import parse_watch_event
from scale import load_profile, regression
from scale.messages.counter_bytes import CALLS, CounterBytes
from scale.messages.counter_demand import CounterDemand
from scale.messages.counting_stand_in import encode_chunk
from scale.messages.health_check_bytes import HealthCheckBytes
from scale.messages.list_bytes import ListBytes
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.sample_sizes import FRACTIONS, QUICK_FRACTION, sample_sizes
from scale.simulated_limiter import SimulatedLimiter
from scale.synthetic_inputs import BUCKET_SECONDS, CALM_MIX, TENSE_MIX, LoadMix, watch_event_text
from scale.worker import Job, run_job, run_jobs

IDLE_SECONDS = 21.0  # time for ten pings on each connection of an idle client
QUICK_IDLE_SECONDS = 2.5
KEEP_ALIVE_CHUNK = b"1\r\n\n\r\n"  # an empty line as a chunk
KEEP_ALIVE_INTERVAL_SECONDS = 2.0  # interval between two keep-alives
WARM_UP_SECONDS = 240.0  # virtual, until the limiter's counter budget has grown
QUICK_WARM_UP_SECONDS = 20.0
LOAD_SECONDS = 60.0  # virtual
QUICK_LOAD_SECONDS = 10.0
CHECKING_SECONDS = 60.0  # a failed endpoint is checked until the endpoint list shows the failure (assumed)
CHECK_INTERVAL_SECONDS = 2.0  # interval between two health checks, which start at ticks
DISCOVERY_CALLS_PER_SECOND = (8.0, 100.0)  # capacity of discovery (assumed)
LIST_CHANGES = 300  # number of changes over which the size of a change is averaged
BYTES_PER_MEGABYTE = 1e6


@dataclass(frozen=True, slots=True)
class Scenario:
    """A mix of tenants, and the number of limiters that serve a tenant."""

    full_spread: bool  # True: all limiters serve each tenant; False: ``Size.spread`` of them
    name: str
    mix: LoadMix

    def limiters_per_tenant(self, size: Size) -> str:
        """Return the number of limiters that serve a tenant, in words."""
        return f"{size.limiters if self.full_spread else min(size.spread, size.limiters)} limiters a customer"


SCENARIOS = tuple(
    Scenario(full_spread, name, mix)
    for full_spread in (False, True)
    for name, mix in (("calm", CALM_MIX), ("tense", TENSE_MIX))
)
Demands = dict[Scenario, list[CounterDemand]]  # the demand in each run, by scenario


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """The sizes and rates of a limiter's messages with discovery, the counter and endpoints."""

    change: float  # bytes of one endpoint update
    complete_list: float  # bytes of a complete endpoint list
    counter: CounterBytes
    health_check: float  # bytes of one health check with its response
    keep_alives: float  # bytes a second of a watch
    health_checks: float  # number a second


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Measure the bytes of each message and the counter calls by load and mix, and derive the traffic."""
    result = Result()
    lists = _measure_lists(size, effort)
    result.add_slope(regression.line("a whole list, by servers", "bytes", "servers", lists))
    demands = _measure_demands(size, effort, result)
    idle_seconds = QUICK_IDLE_SECONDS if effort.quick else IDLE_SECONDS
    counter_job = Job("scale.messages.counter_bytes:measure_counter_bytes", {"idle_seconds": idle_seconds})
    counter = CounterBytes(**run_job(counter_job))
    health_check_job = Job("scale.messages.health_check_bytes:measure_health_check_bytes")
    health_check = HealthCheckBytes(**run_job(health_check_job))
    result.add_notes(_notes())
    if not effort.quick:
        traffic = _add_message_sizes(size, result, lists[size.servers], counter, health_check)
        _add_demands(size, budget, result, demands)
        _add_traffic(size, budget, result, traffic, demands)
        _add_resync(size, budget, result, traffic.complete_list)
    return result


def _notes() -> list[str]:
    return [
        "bytes are those of the messages, without TCP and IP headers; the lines of a watch are compact "
        "JSON, and responses of discovery and the servers have only the necessary headers",
        f"counter: {CALM_MIX.near:.0%} of the customers are near their quota, {CALM_MIX.over:.0%} at three "
        f"times it (calm), or {TENSE_MIX.near:.0%} and {TENSE_MIX.over:.0%} (tense), the rest at 0.3 of it; "
        f"a customer's bucket holds {BUCKET_SECONDS:.0f} s of its quota; rejected clients do not retry; "
        "the simulated counter "
        f"replies to each call in 5 ms; after {WARM_UP_SECONDS:.0f} virtual seconds the limiter's "
        "counter budget no longer limits the calls. An overloaded counter replies later, and the limiters "
        "reduce their calls to its capacity",
    ]


def _measure_lists(size: Size, effort: Effort) -> dict[float, list[float]]:
    """Measure the bytes of the complete list in each run, by the number of endpoints."""
    list_lengths = [servers for servers in sample_sizes(size.servers, effort) for _ in range(effort.runs)]
    jobs = [
        Job("scale.messages.list_bytes:measure_list_bytes", {"size": asdict(replace(size, servers=servers))})
        for servers in list_lengths
    ]
    lists: dict[float, list[float]] = defaultdict(list)
    for servers, list_bytes in zip(list_lengths, run_jobs(jobs, effort.processes), strict=True):
        lists[servers].append(ListBytes(**list_bytes).response)
    return lists


def _measure_demands(size: Size, effort: Effort, result: Result) -> Demands:
    """Add the slopes of the counter calls by load; return the runs at the full load."""
    scale = QUICK_FRACTION if effort.quick else 1.0
    points = [
        (scenario, fraction * scale, run)
        for scenario in SCENARIOS
        for fraction in FRACTIONS
        for run in range(effort.runs)
    ]
    jobs = [_demand_job(size, effort, scenario, fraction, run) for scenario, fraction, run in points]
    at_full_load: Demands = defaultdict(list)
    by_load: dict[Scenario, dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    for (scenario, fraction, _), result_fields in zip(points, run_jobs(jobs, effort.processes), strict=True):
        demand = CounterDemand(**result_fields)
        by_load[scenario][size.rate * fraction / size.limiters].append(demand.calls)
        if fraction == 1.0:
            at_full_load[scenario].append(demand)
    for scenario, calls in by_load.items():
        name = f"counter calls of a limiter, {scenario.limiters_per_tenant(size)}, {scenario.name}"
        result.add_slope(regression.line(name, "calls/s", "requests/s", calls))
    return at_full_load


def _demand_job(size: Size, effort: Effort, scenario: Scenario, fraction: float, run: int) -> Job:
    tenants = max(1, round(size.tenants * fraction))
    part = replace(size, rate=size.rate * fraction, tenants=tenants)
    return Job(
        "scale.messages.counter_demand:measure_counter_demand",
        {
            "size": asdict(part),
            "full_spread": scenario.full_spread,
            "near": scenario.mix.near,
            "over": scenario.mix.over,
            "seed": effort.seed + run,
            "warm_up": QUICK_WARM_UP_SECONDS if effort.quick else WARM_UP_SECONDS,
            "load": QUICK_LOAD_SECONDS if effort.quick else LOAD_SECONDS,
        },
    )


def _change_bytes(size: Size) -> float:
    """Return the mean bytes of an endpoint update, as a chunk of a watch."""
    limiter = SimulatedLimiter(size, full_spread=False, seed=1)
    lines = [limiter.next_list_change() for _ in range(LIST_CHANGES)]
    for line in lines:
        parse_watch_event(json.loads(line))  # raises if a limiter could not parse the line
    return mean(len(encode_chunk(line)) for line in lines)


def _add_message_sizes(
    size: Size, result: Result, lists: list[float], counter: CounterBytes, health_check: HealthCheckBytes
) -> ControlTraffic:
    """Add the bytes of the messages; ``lists`` has the bytes of the complete list in each run."""
    failures = load_profile.FAILURES_PER_DAY
    traffic = ControlTraffic(
        change=_change_bytes(size),
        complete_list=median(lists),
        counter=counter,
        health_check=health_check.total,
        keep_alives=len(KEEP_ALIVE_CHUNK) / KEEP_ALIVE_INTERVAL_SECONDS,
        health_checks=failures * CHECKING_SECONDS / CHECK_INTERVAL_SECONDS / load_profile.SECONDS_PER_DAY,
    )
    _add_message_size_figures(size, result, traffic)
    return traffic


def _add_message_size_figures(size: Size, result: Result, traffic: ControlTraffic) -> None:
    empty_change = len(encode_chunk(watch_event_text([], 2, complete=False)))
    failures = load_profile.FAILURES_PER_DAY
    checks = (
        f"{failures} failures a day, each endpoint checked every {CHECK_INTERVAL_SECONDS:.0f} s "
        f"for {CHECKING_SECONDS:.0f} s"
    )
    counter = traffic.counter

    def measured(name: str, unit: str, value: float, how: str) -> Figure:
        return Figure(name, unit, value, Origin.MEASURED, how)

    def derived(name: str, unit: str, value: float, how: str) -> Figure:
        return Figure(name, unit, value, Origin.DERIVED, how)

    result.add_figures(
        [
            measured("a change of the list", "B", traffic.change, f"mean of {LIST_CHANGES} lines as chunks"),
            measured("the same without the server's row", "B", empty_change, "a line without endpoints"),
            measured(
                "a whole list", "B", traffic.complete_list, f"{size.servers} servers, with the response head"
            ),
            measured(
                "a counter call with its answer", "B", counter.call, f"mean of {CALLS} calls on a socket"
            ),
            measured("pings of a quiet counter client", "B/s", counter.idle, f"{IDLE_SECONDS:.0f} s idle"),
            measured("a probe with its answer", "B", traffic.health_check, "one health check on a socket"),
            derived(
                "keep-alives of a watch", "B/s", traffic.keep_alives, "an empty line as a chunk each 2 s"
            ),
            derived("probes of a limiter", "/s", traffic.health_checks, f"{checks} (assumed)"),
        ]
    )


def _add_demands(size: Size, budget: Budget, result: Result, demands: Demands) -> None:
    """Add the counter calls of the fleet in each scenario."""
    for scenario, runs in demands.items():
        condition = f"{scenario.limiters_per_tenant(size)}, {scenario.name}"
        calls = median(run.calls for run in runs)
        requests = median(run.requests for run in runs)
        first_calls = median(run.first_calls for run in runs) * size.limiters
        per_request = calls / max(1e-9, requests)
        how = "simulated limiter at full load, after the warm-up"
        name = f"counter calls a request, {condition}"
        result.add_figure(Figure(name, "", per_request, Origin.MEASURED, how))
        how = (
            f"x {size.limiters} limiters, 30 to 60 s after their start, before their counter budget has grown"
        )
        name = f"counter calls at first, {condition}"
        result.add_figure(_call_rate(name, first_calls, how, budget))
        how = f"x {size.limiters} limiters, after the warm-up; the counter serves all calls"
        name = f"counter calls wanted, {condition}"
        result.add_figure(_call_rate(name, calls * size.limiters, how, budget))


def _call_rate(name: str, rate: float, how: str, budget: Budget) -> Figure:
    """Return the figure of the fleet's counter calls a second."""
    return Figure(name, "/s", rate, Origin.DERIVED, how, budget.counter_calls)


def _add_traffic(
    size: Size, budget: Budget, result: Result, traffic: ControlTraffic, demands: Demands
) -> None:
    """Add the bytes a second of a limiter, for several rates of its counter calls."""
    wanted = {scenario: median(run.calls for run in runs) for scenario, runs in demands.items()}
    # An even share of the calls that the counter guarantees, or the demand of the limiter if that is lower.
    fair_share = min(budget.counter_calls / size.limiters, *wanted.values())
    call_rates = {f"{fair_share:.2f} counter calls a second": fair_share}
    for scenario, rate in wanted.items():
        limiters = "all" if scenario.full_spread else "few"
        call_rates[f"counter calls as wanted, {limiters} limiters a customer, {scenario.name}"] = rate
    for rolling_restart in (False, True):
        for description, call_rate in call_rates.items():
            result.add_figure(
                _traffic_figure(
                    traffic, description, call_rate, budget.control_bytes, rolling_restart=rolling_restart
                )
            )


def _traffic_figure(
    traffic: ControlTraffic, description: str, call_rate: float, budget: float, *, rolling_restart: bool
) -> Figure:
    change_rate = load_profile.list_change_rate(rolling_restart=rolling_restart)
    changes = change_rate * traffic.change
    calls = call_rate * traffic.counter.call
    health_checks = traffic.health_checks * traffic.health_check
    how = (
        f"watch {traffic.keep_alives:.1f}, {change_rate:.3f} changes/s {changes:.1f}, counter {calls:.1f}, "
        f"pings {traffic.counter.idle:.1f}, probes {health_checks:.2f}"
    )
    total = traffic.keep_alives + changes + traffic.counter.idle + health_checks + calls
    when = load_profile.describe(rolling_restart=rolling_restart)
    return Figure(f"bytes of a limiter, {when}, {description}", "B/s", total, Origin.DERIVED, how, budget)


def _add_resync(size: Size, budget: Budget, result: Result, complete_list: float) -> None:
    """Add the bytes and the duration of sending a complete list to each limiter."""
    total = complete_list * size.limiters / BYTES_PER_MEGABYTE
    result.add_figure(
        Figure("a resync of all limiters", "MB", total, Origin.DERIVED, f"{size.limiters} complete lists")
    )
    for rate in DISCOVERY_CALLS_PER_SECOND:
        how = (
            f"{size.limiters} lists at {rate:.0f} calls a second (assumed); a new watch that states the "
            "limiter's version may receive only the changes since then"
        )
        result.add_figure(
            Figure(
                f"a resync of all limiters, {rate:.0f} calls/s",
                "s",
                size.limiters / rate,
                Origin.ASSUMED,
                how,
                budget.list_in_force,
            )
        )


TEST = ScaleTest(
    "messages", "bytes and rates of the messages with discovery, the counter and endpoints; a resync", run
)
