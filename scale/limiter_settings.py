"""Settings of real limiters, with the names of the configuration file."""

from __future__ import annotations

from typing import Any

from scale.model import Size

READ_CLASS = {"name": "read", "aim_s": 1.0, "effect": "idempotent", "worth": 1.0, "group": "all"}
LIMITS = {
    "max_attempts": 2,
    "retry_after": True,
    "max_retry_after_s": 1.0,
    "dial_timeout_s": 0.25,
    "conn_idle_s": 30.0,
}


def make_settings(size: Size, tariffs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the settings of a limiter in a fleet of the size; ``tariffs`` are the plans."""
    return {
        "classes": [READ_CLASS],
        "tariffs": tariffs,
        "n_instances": size.limiters,
        "me": 0,
        "my_zone": "zone-1",
        "limits": LIMITS,
        "contract": {"stop_sending_within_s": 2.0},
    }
