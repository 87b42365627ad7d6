"""Slow start over a fleet: warming endpoints under the sum of all gateways, each of which decides alone.

The settings bound what an endpoint that has just started may be sent: ``overload_multiple`` times what it can
do at that moment, within any ``overload_window`` seconds, by all gateways together. Beyond those N requests
of mean work only 2 x root of N + 2 are put down to chance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import NamedTuple

import pytest

from quota_gateway import model
from tests.fleet_simulation import MEAN_CORE_SECONDS, FleetSimulation, SimulatedEndpoint

SETTLED_AT = 106.0  # when the gateways have seen their load for a while
NOTIFIED_FRACTION = 2 / 3  # of a peak that must come from gateways that knew of the restart
FLEET_SHAPES = {3: (6, 2), 30: (8, 2), 200: (20, 1)}  # endpoints and cores of each, by gateways


class Peak(NamedTuple):
    """The highest load on one endpoint over what it bears, and its age then."""

    ratio: float
    age: float
    endpoint: str


# What happens to the fleet. Discovery notifies each gateway on its own, some time later.


def notify_all(fleet: FleetSimulation, names: list[str], delay: float = 0.0, spread: float = 1.0) -> None:
    """Notify every gateway of these endpoints, ``delay`` to ``delay + spread`` seconds from now."""
    for gateway in range(len(fleet.gateways)):
        time = fleet.now + delay + fleet.rng.uniform(0, spread)
        fleet.schedule(time, partial(fleet.notify, gateway, tuple(names)))


def start_endpoints(fleet: FleetSimulation, names: list[str]) -> list[str]:
    """New endpoints start."""
    for name in names:
        fleet.add_endpoint(name, fleet.now)
    notify_all(fleet, names)
    return names


def replace_half(fleet: FleetSimulation) -> list[str]:
    """As many new endpoints start as old ones drain: half of them."""
    old = list(fleet.endpoints)[: len(fleet.endpoints) // 2]
    new = start_endpoints(fleet, [f"new{number}" for number in range(len(old))])
    for name in old:
        endpoint = fleet.endpoints[name]
        endpoint.entry = replace(endpoint.entry, health=model.EndpointHealth.DRAINING)
    notify_all(fleet, old)
    return new


def restart_endpoints(
    fleet: FleetSimulation,
    names: list[str],
    down: float = 0.5,
    spread: float = 1.0,
    is_listed: bool = True,
) -> list[str]:
    """They are unreachable, come back after ``down`` seconds, and the list may tell of it."""
    for name in names:
        endpoint = fleet.endpoints[name]
        started_at = fleet.now + down
        endpoint.down_until = started_at
        endpoint.warming_since = started_at
        endpoint.core_free_at = [started_at] * endpoint.cores
        endpoint.received = []
        if is_listed:
            endpoint.entry = replace(endpoint.entry, started_at=started_at)
    if is_listed:
        notify_all(fleet, names, down, spread)
    return names


def restart_gateways(fleet: FleetSimulation, every: int, within: float) -> None:
    """Gateways die, and others that know nothing start in their places."""
    for gateway in range(0, len(fleet.gateways), every):
        fleet.gateways[gateway] = None
        time = fleet.now + fleet.rng.uniform(0.5, within)
        fleet.schedule(time, partial(fleet.start_gateway, gateway))


# The scenarios; each gives the endpoints that warm up.

Scenario = Callable[[FleetSimulation], list[str]]


def endpoint_added(fleet: FleetSimulation) -> list[str]:
    """One more endpoint."""
    return start_endpoints(fleet, ["new"])


def half_replaced(fleet: FleetSimulation) -> list[str]:
    """A release of the endpoints."""
    return replace_half(fleet)


def endpoint_restarted(fleet: FleetSimulation) -> list[str]:
    """One endpoint restarts."""
    return restart_endpoints(fleet, ["s1"])


def zone_restarted(fleet: FleetSimulation) -> list[str]:
    """All endpoints of one zone restart."""
    names = [name for name, endpoint in fleet.endpoints.items() if endpoint.entry.zone == "a"]
    return restart_endpoints(fleet, names, 3.0)


def notified_late(fleet: FleetSimulation) -> list[str]:
    """The list tells some gateways seconds after the restart."""
    return restart_endpoints(fleet, ["s0", "s1"], spread=4.0)


def restarted_unlisted(fleet: FleetSimulation) -> list[str]:
    """No list tells of it: what each gateway learns, and its health checks, are all that it goes by."""
    return restart_endpoints(fleet, ["s0", "s1"], 3.0, is_listed=False)


def half_of_gateways_restarted(fleet: FleetSimulation) -> list[str]:
    """Half of the gateways know nothing while endpoints restart."""
    restart_gateways(fleet, 2, 3.0)
    return restart_endpoints(fleet, ["s0", "s1"])


def all_gateways_restarted(fleet: FleetSimulation) -> list[str]:
    """Nobody knows what a warm endpoint does, and all learn it at once."""
    restart_gateways(fleet, 1, 1.0)
    return restart_endpoints(fleet, ["s0", "s1"], 1.0)


def gateways_restarted_in_a_release(fleet: FleetSimulation) -> list[str]:
    """Half of the gateways know nothing while half of the endpoints are replaced."""
    restart_gateways(fleet, 2, 3.0)
    return replace_half(fleet)


def burst_on_new_endpoints(fleet: FleetSimulation) -> list[str]:
    """What was saved up under little load goes out at once."""
    names = start_endpoints(fleet, ["new0", "new1"])
    fleet.rate *= 0.3
    fleet.run(fleet.now + 1.5)
    fleet.rate /= 0.3
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


def endpoint_peak(fleet: FleetSimulation, endpoint: SimulatedEndpoint, only_notified: bool) -> Peak:
    """The peak of one endpoint during its warm-up."""
    peak = Peak(0.0, 0.0, "")
    window = fleet.settings.overload_window
    since = endpoint.warming_since
    until = since + fleet.settings.warm_up_time
    received = [request for request in endpoint.received if since <= request.received_at <= until]
    first = 0  # in the window
    total = 0.0
    notified = 0.0
    for time, is_notified, size in received:
        total += size
        notified += size * is_notified
        while received[first].received_at <= time - window:
            total -= received[first].size
            notified -= received[first].size * received[first].is_notified
            first += 1
        # By what it can do as the window begins: the least in it.
        warm_fraction = fleet.warm_fraction(endpoint, max(since, time - window))
        bearable = fleet.settings.overload_multiple * (warm_fraction * endpoint.cores / MEAN_CORE_SECONDS)
        limit = bearable * window
        # Gateways that were not notified are not to blame for the overload that they bring about.
        if not only_notified or notified > total * NOTIFIED_FRACTION:
            ratio = total / (limit + 2 * limit**0.5 + 2)
            peak = max(peak, Peak(ratio, time - since, endpoint.entry.name))
    return peak


def highest_peak(fleet: FleetSimulation, names: list[str], only_notified: bool) -> Peak:
    """The highest of the peaks of these endpoints."""
    return max(endpoint_peak(fleet, fleet.endpoints[name], only_notified) for name in names)


def run_scenario(
    scenario: Scenario, gateways: int, load: float, seed: int, is_always_quick: bool = False
) -> tuple[FleetSimulation, list[str]]:
    """Run a fleet through a scenario; gives it with the names of the endpoints that warmed up."""
    endpoints, cores = FLEET_SHAPES[gateways]
    fleet = FleetSimulation(gateways, endpoints, load, seed, cores, is_always_quick=is_always_quick)
    fleet.run(SETTLED_AT)
    names = scenario(fleet)
    last_start = max(fleet.endpoints[name].warming_since for name in names)
    fleet.run(last_start + fleet.settings.warm_up_time)
    return fleet, names


@pytest.mark.parametrize(("load", "seed"), [(0.5, 1), (1.3, 2)])
@pytest.mark.parametrize("gateways", FLEET_SHAPES)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_warming_endpoint_is_overloaded_by_all_gateways_together(
    scenario: Scenario, gateways: int, load: float, seed: int
) -> None:
    fleet, names = run_scenario(scenario, gateways, load, seed)
    peak = highest_peak(fleet, names, only_notified=scenario is not restarted_unlisted)
    assert 0 < peak.ratio < 1, str(peak)


@pytest.mark.parametrize("gateways", (3, 30))
@pytest.mark.parametrize("scenario", (endpoint_added, half_replaced, zone_restarted, burst_on_new_endpoints))
def test_quick_answers_do_not_raise_the_allowance_past_what_the_settings_allow(
    scenario: Scenario, gateways: int
) -> None:
    """Slow answers keep requests away besides; here the allowance alone has to, and takes it for warmer."""
    fleet, names = run_scenario(scenario, gateways, 1.3, 2, is_always_quick=True)
    peak = highest_peak(fleet, names, only_notified=True)
    assert 0 < peak.ratio < 1, str(peak)
