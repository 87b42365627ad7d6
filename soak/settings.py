"""The settings section of the limiters' configuration file, with the keys that limiters parse."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

LIMITERS_PER_ACCOUNT = 3
DEDUPLICATION_WINDOW_SECONDS = 1.0
MAX_DEADLINE_SECONDS = 2.0
DRAIN_GRACE_SECONDS = 2.0
WARM_UP_SECONDS = 8.0
INITIAL_CAPACITY_FRACTION = 0.1
OVERLOAD_FACTOR = 1.5
OVERLOAD_WINDOW_SECONDS = 1.0
CEILING_RATE_UNITS_PER_SECOND = 8.0
CEILING_BURST_UNITS = 16.0


class RequestClass(StrEnum):
    """The names of the request classes, which differ in how a request may be repeated."""

    LOOKUP = "lookup"  # idempotent
    KEYED = "keyed"  # with an idempotency key
    POST = "post"  # not idempotent


class PlanName(StrEnum):
    """The names of the customers' plans."""

    OPEN = "open"
    CAPPED = "capped"  # with a ceiling


CLASSES: list[dict[str, Any]] = [
    {"name": RequestClass.LOOKUP, "aim_s": 0.8, "hard_limit_s": MAX_DEADLINE_SECONDS,
     "effect": "idempotent", "worth": 1.0, "late_worth": 0.2},
    {"name": RequestClass.KEYED, "aim_s": 0.8, "hard_limit_s": 1.5, "effect": "deduplicated", "group": "all",
     "window_s": DEDUPLICATION_WINDOW_SECONDS, "worth": 2.0, "late_worth": 0.2},
    {"name": RequestClass.POST, "aim_s": 0.8, "hard_limit_s": MAX_DEADLINE_SECONDS,
     "effect": "at_most_once", "worth": 2.0, "late_worth": 0.2},
]  # fmt: skip
PLANS: list[dict[str, Any]] = [
    {"name": PlanName.OPEN, "quota_rate": 500.0, "store_size": 1000.0},
    {"name": PlanName.CAPPED, "quota_rate": 500.0, "store_size": 1000.0,
     "never_over_rate": CEILING_RATE_UNITS_PER_SECOND, "hard_burst": CEILING_BURST_UNITS},
]  # fmt: skip


def make_settings(limiter: int, limiter_count: int, longest_deadline: float) -> dict[str, Any]:
    """Return the settings of one limiter of the run; no class has a deadline beyond ``longest_deadline``."""
    return {
        "classes": [
            entry | {"hard_limit_s": min(entry["hard_limit_s"], longest_deadline)} for entry in CLASSES
        ],
        "tariffs": PLANS,
        "n_instances": limiter_count,
        "me": limiter,
        "my_zone": "a",
        "discovery": "push",
        "limits": {
            "max_attempts": 3,
            "retry_after": True,
            "max_retry_after_s": 1.0,
            "dial_timeout_s": 0.5,
            "conn_idle_s": 4.0,
            "probes": True,
        },
        "specifics": {"has_counter": True, "count_wait_s": 0.05, "max_units": 4},
        "contract": {
            "cold_from": INITIAL_CAPACITY_FRACTION,
            "warm_after_s": WARM_UP_SECONDS,
            "fall_multiple": OVERLOAD_FACTOR,
            "fall_s": OVERLOAD_WINDOW_SECONDS,
            "stop_sending_within_s": DRAIN_GRACE_SECONDS,
            "answer_slack_s": 0.5,
        },
    }
