"""Jobs: what endpoints, tenants, counter calls and classes hold."""

from __future__ import annotations

import json
import tracemalloc
from dataclasses import replace
from typing import Any

import uvloop

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.client.request_parser import RequestParser
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.discovery.watch_event import parse_watch_event
from quota_gateway.net.dispatch.dispatcher import unix_clock
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import parse_settings
from scale.memory.allocation import MemoryUse, allocated_bytes
from scale.model import Size
from scale.synthetic_inputs import CLIENT_TIMEOUT_SECONDS, PLAN_NAME, complete_list_text, synthetic_settings

CONNECT_TIMEOUT = 0.25  # seconds
IDLE_TIMEOUT = 30.0  # seconds
MAX_CONNECTIONS = 64
LIST_LENGTH = 20  # endpoints, where tenants are measured
REQUEST_INTERVAL = 1e-3  # seconds between two tenants
SERVICE_TIME = 0.04  # seconds
MAX_SERVING_GATEWAYS = 3
COUNTER_TIMEOUT = 3600.0  # seconds
FIRST_COUNTER = 2**62
LIFETIME = 60.0  # seconds of a counter


def memory_of_endpoints(count: int, size: dict[str, Any]) -> MemoryUse:
    """What decisions and sockets hold for a list of so many servers."""

    async def main() -> MemoryUse:
        fleet = replace(Size(**size), servers=count)
        gateway = Gateway(parse_settings(synthetic_settings(fleet.limiters, 1.0)), 1, 0.0)
        pool = ConnectionPool(unix_clock(), CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_CONNECTIONS)
        text = complete_list_text(fleet)
        tracemalloc.start()
        event = parse_watch_event(json.loads(text))
        for endpoint in event.update.endpoints:
            pool.update_endpoint(endpoint.name, event.addresses[endpoint.name], available=True)
        gateway.handle(0.0, event.update)
        del event, endpoint
        memory = MemoryUse(allocated_bytes())
        pool.close()
        return memory

    return uvloop.run(main())


def memory_of_tenants(count: int, size: dict[str, Any]) -> MemoryUse:
    """What the decisions hold for so many customers whose requests are over."""
    fleet = Size(**size)
    gateway = Gateway(parse_settings(synthetic_settings(fleet.limiters, 4.0)), 1, 0.0)
    endpoint_list = complete_list_text(replace(fleet, servers=LIST_LENGTH))
    gateway.handle(0.0, parse_watch_event(json.loads(endpoint_list)).update)
    serving_gateways = min(MAX_SERVING_GATEWAYS, fleet.limiters)
    tracemalloc.start()
    for number in range(count):
        _serve_request(gateway, 1.0 + number * REQUEST_INTERVAL, number, serving_gateways)
    return MemoryUse(allocated_bytes())


def _serve_request(gateway: Gateway, now: float, number: int, serving_gateways: int) -> None:
    """One request of a tenant of its own; endpoints and counter reply at once."""
    ok = model.CallStatus.OK
    tenant = f"{number:016x}"
    request = model.Request(
        number, "class-0", PLAN_NAME, CLIENT_TIMEOUT_SECONDS, tenant, serving_gateways=serving_gateways
    )
    actions = gateway.handle(now, request)
    while actions:
        action = actions.pop()
        if isinstance(action, model.Forward):
            completed = model.AttemptCompleted(number, 0, action.endpoint, ok, SERVICE_TIME, True, {})
            actions += gateway.handle(now, completed)
        elif isinstance(action, model.IncrementCounter):
            replied = model.CounterReplied(action.counter_id, ok, action.amount)
            actions += gateway.handle(now, replied)


def memory_of_counter_calls(count: int) -> MemoryUse:
    """What the counter's client holds for so many calls that have no reply yet."""

    async def main() -> MemoryUse:
        client = CounterClient("127.0.0.1", 1, COUNTER_TIMEOUT)  # never started: the calls stay queued
        tracemalloc.start()
        for number in range(count):
            client.increment(FIRST_COUNTER + number, 1.0, LIFETIME, lambda _result: None)
        return MemoryUse(allocated_bytes())

    return uvloop.run(main())


def memory_of_classes(count: int) -> MemoryUse:
    """What a configuration of so many classes holds: as read, as settings, and where they are used."""
    text = json.dumps(synthetic_settings(3, 1.0, count))
    tracemalloc.start()
    raw = json.loads(text)
    parsed = parse_settings(raw)
    holders = (raw, Gateway(parsed, 1, 0.0), RequestParser(parsed))
    memory = MemoryUse(allocated_bytes())
    del holders
    return memory
