"""Checks the sizes from the command line before any test starts."""

from __future__ import annotations

import math
import os
from collections.abc import Sequence
from typing import NoReturn

import click

from scale.model import Effort, ScaleTest, Size

# Memory estimate for tests that have none of their own. It includes the tables of each process, sized by the
# slopes of the test ``state``, and as much memory again, which a process needs to read a complete list.
PROCESS_BYTES = 60e6
SERVER_BYTES = 2000.0
TENANT_BYTES = 1500.0
ROUTE_BYTES = 1500.0
MEMORY_FRACTION = 0.5  # fraction of the machine's memory that a run may use
# Maximum rate of one limiter. Its decisions use a quarter of a core at this rate.
MAX_REQUESTS_PER_SECOND = 2000.0
MAX_VALUES = {
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
# Pairs (option, bound): the first option must not exceed the second.
BOUNDED_OPTIONS = (
    ("spread", "limiters"),
    ("services", "servers"),
    ("regions", "zones"),
    ("zones", "servers"),
)


def reject_option(option: str, reason: str) -> NoReturn:
    """Raise ``click.BadParameter`` for an option."""
    raise click.BadParameter(reason, param_hint=f"'--{option}'")


def check_sizes(size: Size, effort: Effort, tests: Sequence[ScaleTest], memory: float) -> None:
    """Raise ``BadParameter`` for an option that is out of range.

    Some ranges depend on other options or on ``memory``, the machine's memory in bytes.
    """
    _check_ranges(size)
    _check_relations(size)
    for test in tests:
        _check_memory(test, size, effort, memory)


def _check_ranges(size: Size) -> None:
    for name, maximum in MAX_VALUES.items():
        value = getattr(size, name)
        if not math.isfinite(value) or value <= 0:
            reject_option(name, f"{value} is not a positive finite number")
        if value > maximum:
            reject_option(name, f"{value} is more than the maximum, {maximum:.0f}")


def _check_relations(size: Size) -> None:
    limiter_rate = size.rate / size.limiters
    if limiter_rate > MAX_REQUESTS_PER_SECOND:
        reject_option(
            "rate",
            f"{limiter_rate:.0f} requests/s per limiter is more than the maximum, "
            f"{MAX_REQUESTS_PER_SECOND:.0f}",
        )
    for option, bound in BOUNDED_OPTIONS:
        if getattr(size, option) > getattr(size, bound):
            reject_option(option, f"{getattr(size, option)} is more than --{bound} {getattr(size, bound)}")


def _check_memory(test: ScaleTest, size: Size, effort: Effort, memory: float) -> None:
    bytes_by_option = test.memory(size, effort) if test.memory is not None else estimate_memory(size, effort)
    needed = sum(bytes_by_option.values())
    allowed = MEMORY_FRACTION * memory
    if needed <= allowed:
        return
    largest = max(bytes_by_option, key=lambda name: bytes_by_option[name])
    reject_option(
        largest,
        f"{test.name} would use {needed / 1e9:.1f} GB of memory, "
        f"{bytes_by_option[largest] / 1e9:.1f} GB of which are due to this option; "
        f"the limit is half of this machine's memory, {allowed / 1e9:.1f} GB",
    )


def estimate_memory(size: Size, effort: Effort) -> dict[str, float]:
    """Return the bytes that a run uses at once, by the option that causes them."""
    per_process = {
        "servers": size.servers * SERVER_BYTES,
        "tenants": size.tenants * TENANT_BYTES,
        "routes": size.routes * ROUTE_BYTES,
    }
    total = {name: count * effort.processes for name, count in per_process.items()}
    return total | {"processes": PROCESS_BYTES * effort.processes}


def machine_memory() -> float:
    """Return the memory of this machine in bytes."""
    return float(os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"))
