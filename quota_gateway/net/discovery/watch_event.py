"""The events of discovery's watch and their parsing from JSON messages."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from quota_gateway import model
from quota_gateway.net.common.http_common import split_address

HEALTH_STATES = {
    "ready": model.EndpointHealth.HEALTHY,
    "draining": model.EndpointHealth.DRAINING,
    "gone": model.EndpointHealth.REMOVED,
}


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """An endpoint list, complete or changes only, with the addresses of its endpoints."""

    version: int
    update: model.EndpointUpdate
    addresses: dict[str, str]  # ``host:port`` by endpoint name; empty where a removed endpoint has none


def parse_watch_event(raw: Any) -> WatchEvent:
    """Return the event in a decoded message; raises ``ValueError`` where the message is malformed."""
    try:
        endpoints = []
        addresses = {}
        for host in raw["hosts"]:
            endpoint, address = _parse_host(host)
            endpoints.append(endpoint)
            addresses[endpoint.name] = address
        version = int(raw["seq"])
        update = model.EndpointUpdate(tuple(endpoints), complete=bool(raw.get("whole")))
        return WatchEvent(version, update, addresses)
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"not an endpoint list: {error!r:.80}") from None


def _parse_host(host: dict[str, Any]) -> tuple[model.Endpoint, str]:
    """Return an endpoint and its address, which only a removed endpoint can lack."""
    health = HEALTH_STATES[host["health"]]
    address = str(host.get("dial") or "")
    if address or health is not model.EndpointHealth.REMOVED:
        split_address(address)  # raises ValueError where it is malformed
    name = str(host["host"])
    started_at = float(host.get("born_ms") or 0) / 1000
    if not math.isfinite(started_at):
        raise ValueError("a start that is no time")
    weight = float(host.get("share") or 1.0)
    cell = int(host.get("block") or 0)
    zone = str(host.get("site") or "")
    return model.Endpoint(name, health, zone, cell, weight, started_at), address
