"""The changes of an ordinary day, as the operators state them, and a rolling restart as its worst case."""

from __future__ import annotations

from scale.model import Size

SECONDS_PER_DAY = 86_400.0
FAILURES_PER_DAY = 5  # servers that fail
RESTARTS_PER_DAY = 760  # servers that are restarted or replaced
CHANGES_PER_RESTART = 3  # of the list: draining, gone, ready
CHANGES_PER_FAILURE = 2  # of the list: gone, ready
ROLLING_RESTART_SECONDS = 600.0  # in which all of the day's restarts come at once (assumed)


def daily_list_changes() -> int:
    """Changes of the list on an ordinary day."""
    return RESTARTS_PER_DAY * CHANGES_PER_RESTART + FAILURES_PER_DAY * CHANGES_PER_FAILURE


def list_change_rate(rolling_restart: bool) -> float:
    """Changes of the list a second: an ordinary day's mean, or while the day's restarts come together."""
    return daily_list_changes() / (ROLLING_RESTART_SECONDS if rolling_restart else SECONDS_PER_DAY)


def describe(rolling_restart: bool) -> str:
    """The time to which ``list_change_rate`` applies, in words."""
    if not rolling_restart:
        return "an ordinary day"
    return f"a roll, all {RESTARTS_PER_DAY} restarts in {ROLLING_RESTART_SECONDS:.0f} s"


def reload_rate(size: Size) -> float:
    """Changes of configuration a second."""
    return size.config_changes / SECONDS_PER_DAY
