"""Checks of the sizes on the command line, before anything is started."""

from __future__ import annotations

import math
import os
from collections.abc import Sequence
from typing import NoReturn

import click

from scale.model import Effort, ScaleTest, Size

# What a test that does not say holds: a process with its tables for each, by the slopes of the test `state`,
# and as much again while a complete list is read.
PROCESS_BYTES = 60e6
SERVER_BYTES = 2000.0
TENANT_BYTES = 1500.0
ROUTE_BYTES = 1500.0
MEMORY_FRACTION = 0.5  # of the machine's memory that a run may hold
MAX_LIMITER_RATE = 2000.0  # requests a second: its decisions alone take a quarter of a core for them
# The largest value of each option: more than any fleet has.
MAXIMUM = {
    "limiters": 100_000,
    "servers": 1_000_000,
    "services": 1_000_000,
    "routes": 10_000_000,
    "tenants": 100_000_000,
    "rate": 1e9,
    "spread": 100_000,
    "regions": 1000,
    "zones": 10_000,
}
# Options that may not exceed another one.
NOT_ABOVE = (("spread", "limiters"), ("services", "servers"), ("regions", "zones"), ("zones", "servers"))


def reject_option(option: str, reason: str) -> NoReturn:
    """Raise ``click.BadParameter`` for an option."""
    raise click.BadParameter(reason, param_hint=f"'--{option}'")


def check_sizes(size: Size, effort: Effort, tests: Sequence[ScaleTest], memory: float) -> None:
    """``BadParameter`` names the option whose size is impossible.

    By itself, beside another option, or in ``memory``, the machine's in bytes.
    """
    _check_ranges(size)
    _check_relations(size)
    for test in tests:
        _check_memory(test, size, effort, memory)


def _check_ranges(size: Size) -> None:
    for name, maximum in MAXIMUM.items():
        value = getattr(size, name)
        if not math.isfinite(value) or value <= 0:
            reject_option(name, f"{value} is not above 0")
        if value > maximum:
            reject_option(name, f"{value} is more than any fleet has ({maximum:.0f} at most)")


def _check_relations(size: Size) -> None:
    limiter_rate = size.rate / size.limiters
    if limiter_rate > MAX_LIMITER_RATE:
        reject_option("rate", f"{limiter_rate:.0f} a limiter is more than one bears ({MAX_LIMITER_RATE:.0f})")
    for option, bound in NOT_ABOVE:
        if getattr(size, option) > getattr(size, bound):
            reject_option(option, f"{getattr(size, option)} is more than --{bound} {getattr(size, bound)}")


def _check_memory(test: ScaleTest, size: Size, effort: Effort, memory: float) -> None:
    parts = test.memory(size, effort) if test.memory is not None else estimate_memory(size, effort)
    needed = sum(parts.values())
    allowed = MEMORY_FRACTION * memory
    if needed <= allowed:
        return
    largest = max(parts, key=lambda name: parts[name])
    reject_option(
        largest,
        f"{test.name} would hold {needed / 1e9:.1f} GB, {parts[largest] / 1e9:.1f} of them for this; "
        f"half of this machine's memory is {allowed / 1e9:.1f} GB",
    )


def estimate_memory(size: Size, effort: Effort) -> dict[str, float]:
    """Bytes that a run holds at once, by the option that causes them."""
    per_process = {
        "servers": size.servers * SERVER_BYTES,
        "tenants": size.tenants * TENANT_BYTES,
        "routes": size.routes * ROUTE_BYTES,
    }
    # More processes than machines have are rejected where they are asked for.
    in_all = {name: count * effort.processes for name, count in per_process.items()}
    return in_all | {"processes": PROCESS_BYTES * effort.processes}


def machine_memory() -> float:
    """Bytes of memory that this machine has."""
    return float(os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"))
