"""The events of discovery's watch and their parsing from JSON messages."""

from __future__ import annotations

import json
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
MILLISECONDS_PER_SECOND = 1000


class MalformedEventError(ValueError):
    """Raised for a message that is not an event of the watch."""


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """An endpoint update, which may be the complete list, with the addresses of its endpoints."""

    version: int
    update: model.EndpointUpdate
    addresses: dict[str, str]  # ``host:port`` by endpoint name; empty for a removed endpoint without one


def parse_watch_event(raw: Any) -> WatchEvent:
    """Return the event in a decoded JSON message; raise ``MalformedEventError`` if it is malformed."""
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
        raise MalformedEventError(f"invalid endpoint update: {error!r:.80}") from None


def decode_watch_event(text: bytes) -> WatchEvent:
    """Return the event in a JSON text; raise ``ValueError`` or ``RecursionError`` if it is malformed."""
    event = parse_watch_event(json.loads(text))
    if event.update.complete and not event.update.endpoints:
        # Discovery may have lost its state: the present endpoints stay in use.
        raise MalformedEventError("a complete list without endpoints; keeping the previous list")
    return event


def _parse_host(host: dict[str, Any]) -> tuple[model.Endpoint, str]:
    """Return an endpoint and its address, which may be empty only if the endpoint is removed."""
    health = HEALTH_STATES[host["health"]]
    address = str(host.get("dial") or "")
    if address or health is not model.EndpointHealth.REMOVED:
        split_address(address)  # raises ValueError if it is malformed
    name = str(host["host"])
    started_at = float(host.get("born_ms") or 0) / MILLISECONDS_PER_SECOND
    if not math.isfinite(started_at):
        raise ValueError("born_ms is not a finite number")
    weight = float(host.get("share") or 1.0)
    cell = int(host.get("block") or 0)
    zone = str(host.get("site") or "")
    return model.Endpoint(name, health, zone, cell, weight, started_at), address
