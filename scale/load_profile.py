"""What an ordinary day brings, as the operators state it, and what is taken for its worst ten minutes."""

from __future__ import annotations

from scale.model import Size

DAY = 86_400.0
FAILURES, RESTARTS = 5, 760  # servers that fail, and that are restarted or replaced, a day
AFTER_RESTART, AFTER_FAILURE = 3, 2  # changes of the list: draining, gone, ready; gone, ready
ROLL = 600.0  # seconds in which all of the day's restarts come, at a roll (assumed)


def daily_list_changes() -> int:
    """Changes of the list on an ordinary day."""
    return RESTARTS * AFTER_RESTART + FAILURES * AFTER_FAILURE


def when(roll: bool) -> str:
    """The time of ``list_changes(roll)``, in words."""
    return f"a roll, all {RESTARTS} restarts in {ROLL:.0f} s" if roll else "an ordinary day"


def list_changes(roll: bool) -> float:
    """Changes of the list a second: an ordinary day's mean, or while the day's restarts come together."""
    return daily_list_changes() / (ROLL if roll else DAY)


def reloads(size: Size) -> float:
    """Changes of configuration a second."""
    return size.config_changes / DAY
