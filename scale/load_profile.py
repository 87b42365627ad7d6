"""Rates at which the endpoint list and the configuration change.

An ordinary day has the numbers of changes that the operators state; the worst case is a rolling restart.
"""

from __future__ import annotations

from scale.model import Size

SECONDS_PER_DAY = 86_400.0
FAILURES_PER_DAY = 5  # failures of endpoints
RESTARTS_PER_DAY = 760  # restarts of endpoints, replacements included
CHANGES_PER_RESTART = 3  # changes of the list: draining, removed, ready
CHANGES_PER_FAILURE = 2  # changes of the list: removed, ready
ROLLING_RESTART_SECONDS = 600.0  # assumed duration of a rolling restart, with as many changes as a day


def daily_list_changes() -> int:
    """Return the changes of the list on an ordinary day."""
    return RESTARTS_PER_DAY * CHANGES_PER_RESTART + FAILURES_PER_DAY * CHANGES_PER_FAILURE


def list_change_rate(*, rolling_restart: bool) -> float:
    """Return the changes of the list a second: the mean of an ordinary day, or of a rolling restart."""
    return daily_list_changes() / (ROLLING_RESTART_SECONDS if rolling_restart else SECONDS_PER_DAY)


def describe(*, rolling_restart: bool) -> str:
    """Return how a figure names an ordinary day or a rolling restart."""
    if not rolling_restart:
        return "an ordinary day"
    return f"a roll, all {RESTARTS_PER_DAY} restarts in {ROLLING_RESTART_SECONDS:.0f} s"


def reload_rate(size: Size) -> float:
    """Return the changes of the configuration a second."""
    return size.config_changes / SECONDS_PER_DAY
