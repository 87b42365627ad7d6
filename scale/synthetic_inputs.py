"""Synthetic settings, endpoint lists and mixes of tenants for the measurement of a single limiter."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from scale.model import Size

PLAN_NAME = "basic"
CLASS_COUNT = 4
CLIENT_TIMEOUT_SECONDS = 2.0
BUCKET_SECONDS = 4.0  # size of the bucket, in seconds of the quota
# Demand of the three kinds of tenants, divided by the quota.
BELOW_QUOTA_LOAD = 0.3
NEAR_QUOTA_LOAD = 0.95
OVER_QUOTA_LOAD = 3.0
_EFFECTS = ("idempotent", "deduplicated", "at_most_once")
_WEIGHT_COUNT = 5  # number of different priority weights
_FRACTION_STEPS = 1000  # resolution of the fractions in a ``LoadMix``
_TENANT_STRIDE = 7919  # a prime, so that each kind of tenant is spread evenly over the tenant numbers
_NAME_FACTOR = 2654435761  # Knuth's multiplicative hash, which spreads the names evenly
_PORT = 7070


@dataclass(frozen=True, slots=True)
class LoadMix:
    """Fractions of tenants with a demand near and several times over the quota; the others are far below."""

    near: float
    over: float

    @property
    def demand(self) -> float:
        """The mean demand, divided by the quota."""
        below = 1 - self.near - self.over
        return self.near * NEAR_QUOTA_LOAD + self.over * OVER_QUOTA_LOAD + below * BELOW_QUOTA_LOAD

    def demand_of(self, tenant: int) -> float:
        """Return a tenant's demand divided by its quota; it depends only on the tenant's number."""
        quantile = tenant * _TENANT_STRIDE % _FRACTION_STEPS / _FRACTION_STEPS
        if quantile < self.over:
            return OVER_QUOTA_LOAD
        return NEAR_QUOTA_LOAD if quantile < self.over + self.near else BELOW_QUOTA_LOAD


CALM_MIX = LoadMix(near=0.12, over=0.06)
TENSE_MIX = LoadMix(near=0.24, over=0.14)
USUAL_MIX = LoadMix(near=0.18, over=0.10)


def synthetic_settings(limiters: int, quota: float, class_count: int = CLASS_COUNT) -> dict[str, Any]:
    """Return a settings object with its names on the wire; ``quota`` is in units a second."""
    return {
        "classes": [_request_class(number) for number in range(class_count)],
        "tariffs": [
            {"name": PLAN_NAME, "price": 1.0, "quota_rate": quota, "store_size": BUCKET_SECONDS * quota}
        ],
        "n_instances": limiters,
        "me": 0,
        "my_zone": "zone-0",
        "discovery": "ask",
        "limits": {
            "max_attempts": 2,
            "probes": True,
            "retry_after": True,
            "max_retry_after_s": 1.0,
            "dial_timeout_s": 0.25,
            "conn_idle_s": 30.0,
        },
        "contract": {"cold_from": 0.2, "warm_after_s": 10.0, "fall_multiple": 2.0, "fall_s": 2.0},
        "specifics": {"has_counter": True, "count_wait_s": 0.05, "max_units": 4.0},
    }


def _request_class(number: int) -> dict[str, Any]:
    return {
        "name": f"class-{number}",
        "aim_s": 0.5,
        "worth": 1.0 + number % _WEIGHT_COUNT,
        "effect": _EFFECTS[number % len(_EFFECTS)],
        "group": "all",
        "window_s": 4.0,
        "hard_limit_s": CLIENT_TIMEOUT_SECONDS,
    }


def endpoint_row(number: int, size: Size, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
    """Return an endpoint as discovery lists it; numbers from ``size.servers`` on are replacements."""
    position = number % size.servers
    address = f"10.{position >> 16 & 255}.{position >> 8 & 255}.{position & 255}"
    return {
        "host": f"s-{number * _NAME_FACTOR % 2**32:08x}",
        "dial": f"{address}:{_PORT}",
        "site": f"zone-{position % size.zones}",
        "class": "m2",
        "block": position * size.services // size.servers,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def watch_event_text(rows: Iterable[dict[str, Any]], version: int, *, complete: bool) -> str:
    """Return a watch event of discovery in compact JSON."""
    # Encoded row by row, because a list of all rows would be measured as memory of the limiter.
    hosts = ",".join(json.dumps(row, separators=(",", ":")) for row in rows)
    return f'{{"seq":{version},"whole":{json.dumps(complete)},"hosts":[{hosts}]}}'


def complete_list_text(size: Size) -> str:
    """Return the watch event with the complete list of a fleet."""
    return watch_event_text((endpoint_row(number, size) for number in range(size.servers)), 1, complete=True)
