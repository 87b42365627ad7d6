"""SlowStart in a fleet: gateways that decide independently do not overload a warming endpoint together.

The settings limit the load on an endpoint that is warming up: within any ``overload_window`` seconds, it may
receive ``overload_multiple`` times its capacity at that time, from all gateways together. With a limit of N
requests of mean work, an excess of 2 * sqrt(N) + 2 is accepted as random variation.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import pytest

from tests.fleet_simulation import MEAN_CORE_SECONDS, FleetSimulation, SimulatedEndpoint

SETTLED_TIME = 106.0  # Unix time by which the gateways have learned the completion rate
# A peak counts if more than this fraction of its load is from gateways that were notified of the restart.
MIN_NOTIFIED_FRACTION = 2 / 3


class FleetShape(NamedTuple):
    """The endpoints of a fleet."""

    endpoints: int
    cores: int  # cores of each endpoint


FLEET_SHAPES = {3: FleetShape(6, 2), 30: FleetShape(8, 2), 200: FleetShape(20, 1)}  # by number of gateways


class Peak(NamedTuple):
    """The highest load on one endpoint during its slow start."""

    ratio: float  # load divided by the limit
    age: float  # age of the endpoint in seconds
    endpoint: str


# Steps of the scenarios. The gateways are notified of a change at different times.


def notify_all(fleet: FleetSimulation, names: list[str], delay: float = 0.0, spread: float = 1.0) -> None:
    """Notify every gateway of these endpoints, ``delay`` to ``delay + spread`` seconds from now."""
    for gateway in range(len(fleet.gateways)):
        time = fleet.now + delay + fleet.rng.uniform(0, spread)
        fleet.schedule(time, partial(fleet.notify, gateway, tuple(names)))


def start_endpoints(fleet: FleetSimulation, names: list[str]) -> list[str]:
    """Start new endpoints, and return their names."""
    for name in names:
        fleet.add_endpoint(name, fleet.now)
    notify_all(fleet, names)
    return names


def replace_half(fleet: FleetSimulation) -> list[str]:
    """Drain half of the endpoints, start as many new ones, and return the names of these."""
    old = list(fleet.endpoints)[: len(fleet.endpoints) // 2]
    new = start_endpoints(fleet, [f"new{number}" for number in range(len(old))])
    for name in old:
        fleet.endpoints[name].drain()
    notify_all(fleet, old)
    return new


def restart_endpoints(
    fleet: FleetSimulation,
    names: list[str],
    down: float = 0.5,
    spread: float = 1.0,
    *,
    is_listed: bool = True,
) -> list[str]:
    """Restart endpoints, which are unreachable for ``down`` seconds.

    The endpoint list announces the restart only if ``is_listed`` is true.
    """
    for name in names:
        fleet.endpoints[name].restart(fleet.now + down, is_listed=is_listed)
    if is_listed:
        notify_all(fleet, names, down, spread)
    return names


def restart_gateways(fleet: FleetSimulation, every: int, within: float) -> None:
    """Stop one in ``every`` gateways; restart them without their state 0.5 to ``within`` seconds later."""
    for gateway in range(0, len(fleet.gateways), every):
        fleet.gateways[gateway].stop()
        time = fleet.now + fleet.rng.uniform(0.5, within)
        fleet.schedule(time, partial(fleet.start_gateway, gateway))


# The scenarios; each returns the names of the endpoints that warm up.

Scenario = Callable[[FleetSimulation], list[str]]


def endpoint_added(fleet: FleetSimulation) -> list[str]:
    """One endpoint is added."""
    return start_endpoints(fleet, ["new"])


def half_replaced(fleet: FleetSimulation) -> list[str]:
    """Half of the endpoints are replaced, as in a release."""
    return replace_half(fleet)


def endpoint_restarted(fleet: FleetSimulation) -> list[str]:
    """One endpoint restarts."""
    return restart_endpoints(fleet, ["s1"])


def zone_restarted(fleet: FleetSimulation) -> list[str]:
    """All endpoints of one zone restart."""
    names = [name for name, endpoint in fleet.endpoints.items() if endpoint.entry.zone == "a"]
    return restart_endpoints(fleet, names, 3.0)


def notified_late(fleet: FleetSimulation) -> list[str]:
    """Some gateways are notified seconds after the restart."""
    return restart_endpoints(fleet, ["s0", "s1"], spread=4.0)


def restarted_unlisted(fleet: FleetSimulation) -> list[str]:
    """The endpoint list does not announce the restart: gateways detect it by failures and health checks."""
    return restart_endpoints(fleet, ["s0", "s1"], 3.0, is_listed=False)


def half_of_gateways_restarted(fleet: FleetSimulation) -> list[str]:
    """Half of the gateways restart while endpoints restart."""
    restart_gateways(fleet, 2, 3.0)
    return restart_endpoints(fleet, ["s0", "s1"])


def all_gateways_restarted(fleet: FleetSimulation) -> list[str]:
    """All gateways restart, and learn the completion rate of a warm endpoint at the same time."""
    restart_gateways(fleet, 1, 1.0)
    return restart_endpoints(fleet, ["s0", "s1"], 1.0)


def gateways_restarted_in_a_release(fleet: FleetSimulation) -> list[str]:
    """Half of the gateways restart while half of the endpoints are replaced."""
    restart_gateways(fleet, 2, 3.0)
    return replace_half(fleet)


def burst_on_new_endpoints(fleet: FleetSimulation) -> list[str]:
    """The load rises after a time of low load, in which allowances are saved up."""
    names = start_endpoints(fleet, ["new0", "new1"])
    with fleet.scaled_load(0.3):
        fleet.run(fleet.now + 1.5)
    return names


SCENARIOS = (
    endpoint_added,
    half_replaced,
    endpoint_restarted,
    zone_restarted,
    notified_late,
    restarted_unlisted,
    half_of_gateways_restarted,
    all_gateways_restarted,
    gateways_restarted_in_a_release,
    burst_on_new_endpoints,
)


def endpoint_peak(fleet: FleetSimulation, endpoint: SimulatedEndpoint, *, only_notified: bool) -> Peak:
    """Return the peak of one endpoint during its slow start.

    ``only_notified`` ignores overload that comes from gateways that were not notified of the restart.
    """
    peak = Peak(0.0, 0.0, "")
    window = fleet.settings.overload_window
    since = endpoint.warming_since
    until = since + fleet.settings.warm_up_time
    received = [request for request in endpoint.received if since <= request.received_at <= until]
    first = 0  # index of the first request in the window
    total = 0.0
    notified = 0.0
    for time, is_notified, size in received:
        total += size
        notified += size * is_notified
        while received[first].received_at <= time - window:
            total -= received[first].size
            notified -= received[first].size * received[first].is_notified
            first += 1
        # The capacity at the beginning of the window is the lowest in it.
        warm_fraction = fleet.warm_fraction(endpoint, max(since, time - window))
        capacity = warm_fraction * endpoint.cores / MEAN_CORE_SECONDS
        limit = fleet.settings.overload_multiple * capacity * window
        if not only_notified or notified > total * MIN_NOTIFIED_FRACTION:
            ratio = total / (limit + 2 * limit**0.5 + 2)
            peak = max(peak, Peak(ratio, time - since, endpoint.entry.name))
    return peak


def highest_peak(fleet: FleetSimulation, names: list[str], *, only_notified: bool) -> Peak:
    """Return the highest peak of these endpoints."""
    return max(endpoint_peak(fleet, fleet.endpoints[name], only_notified=only_notified) for name in names)


def run_scenario(
    scenario: Scenario, gateways: int, load: float, seed: int, *, is_always_fast: bool = False
) -> tuple[FleetSimulation, list[str]]:
    """Run a fleet through a scenario, and return it with the names of the endpoints that warmed up."""
    shape = FLEET_SHAPES[gateways]
    fleet = FleetSimulation(gateways, shape.endpoints, load, seed, shape.cores, is_always_fast=is_always_fast)
    fleet.run(SETTLED_TIME)
    names = scenario(fleet)
    last_start = max(fleet.endpoints[name].warming_since for name in names)
    fleet.run(last_start + fleet.settings.warm_up_time)
    return fleet, names


@pytest.mark.parametrize(("load", "seed"), [(0.5, 1), (1.3, 2)])
@pytest.mark.parametrize("gateways", FLEET_SHAPES)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_all_gateways_together_do_not_overload_a_warming_endpoint(
    scenario: Scenario, gateways: int, load: float, seed: int
) -> None:
    fleet, names = run_scenario(scenario, gateways, load, seed)
    peak = highest_peak(fleet, names, only_notified=scenario is not restarted_unlisted)
    assert 0 < peak.ratio < 1, str(peak)


@pytest.mark.parametrize("gateways", [3, 30])
@pytest.mark.parametrize("scenario", [endpoint_added, half_replaced, zone_restarted, burst_on_new_endpoints])
def test_fast_responses_do_not_raise_the_allowance_above_the_limit_of_the_settings(
    scenario: Scenario, gateways: int
) -> None:
    """All responses are fast, so the endpoint seems warmer, and only its allowance limits the load."""
    fleet, names = run_scenario(scenario, gateways, 1.3, 2, is_always_fast=True)
    peak = highest_peak(fleet, names, only_notified=True)
    assert 0 < peak.ratio < 1, str(peak)
