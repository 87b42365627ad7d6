"""Jobs that measure the memory of endpoints, tenants, counter calls and request classes."""

from __future__ import annotations

import json
import tracemalloc
from dataclasses import replace
from typing import Any

import uvloop

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.client.request_parser import RequestParser
from quota_gateway.net.common.unix_clock import unix_clock
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.discovery.watch_event import parse_watch_event
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import parse_settings
from scale.memory.allocation import MemoryUse, allocated_bytes
from scale.model import Size
from scale.synthetic_inputs import CLIENT_TIMEOUT_SECONDS, PLAN_NAME, complete_list_text, synthetic_settings

CONNECT_TIMEOUT_SECONDS = 0.25
IDLE_TIMEOUT_SECONDS = 30.0
MAX_CONNECTIONS = 64
ENDPOINTS_FOR_TENANTS = 20  # length of the endpoint list when tenants are measured
REQUEST_INTERVAL_SECONDS = 1e-3  # interval between the requests of two tenants
SERVICE_SECONDS = 0.04
MAX_SERVING_GATEWAYS = 3
COUNTER_TIMEOUT_SECONDS = 3600.0
FIRST_COUNTER_ID = 2**62
COUNTER_LIFETIME_SECONDS = 60.0


def memory_of_endpoints(count: int, size: dict[str, Any]) -> MemoryUse:
    """Return the memory of an endpoint list in the gateway and in the connection pool."""
    return uvloop.run(_measure_endpoints(replace(Size(**size), servers=count)))


async def _measure_endpoints(fleet: Size) -> MemoryUse:
    gateway = Gateway(parse_settings(synthetic_settings(fleet.limiters, 1.0)), 1, 0.0)
    pool = ConnectionPool(unix_clock(), CONNECT_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS, MAX_CONNECTIONS)
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


def memory_of_tenants(count: int, size: dict[str, Any]) -> MemoryUse:
    """Return the memory of tenants in the gateway, each after one request that has been served."""
    fleet = Size(**size)
    gateway = Gateway(parse_settings(synthetic_settings(fleet.limiters, 4.0)), 1, 0.0)
    endpoint_list = complete_list_text(replace(fleet, servers=ENDPOINTS_FOR_TENANTS))
    gateway.handle(0.0, parse_watch_event(json.loads(endpoint_list)).update)
    serving_gateways = min(MAX_SERVING_GATEWAYS, fleet.limiters)
    tracemalloc.start()
    for number in range(count):
        _serve_request(gateway, 1.0 + number * REQUEST_INTERVAL_SECONDS, number, serving_gateways)
    return MemoryUse(allocated_bytes())


def _serve_request(gateway: Gateway, now: float, number: int, serving_gateways: int) -> None:
    """Let the gateway serve one request of a new tenant; the endpoint and the counter reply immediately."""
    ok = model.CallStatus.OK
    tenant = f"{number:016x}"
    request = model.Request(
        number, "class-0", PLAN_NAME, CLIENT_TIMEOUT_SECONDS, tenant, serving_gateways=serving_gateways
    )
    actions = gateway.handle(now, request)
    while actions:
        action = actions.pop()
        if isinstance(action, model.Forward):
            completed = model.AttemptCompleted(
                request_id=number,
                attempt=0,
                endpoint=action.endpoint,
                status=ok,
                elapsed=SERVICE_SECONDS,
                request_finished=True,
                load_report={},
            )
            actions += gateway.handle(now, completed)
        elif isinstance(action, model.IncrementCounter):
            replied = model.CounterReplied(action.counter_id, ok, action.amount)
            actions += gateway.handle(now, replied)


def memory_of_counter_calls(count: int) -> MemoryUse:
    """Return the memory of calls without a reply in the counter's client."""
    return uvloop.run(_measure_counter_calls(count))


async def _measure_counter_calls(count: int) -> MemoryUse:
    # The client is not started, so the calls stay queued.
    client = CounterClient("127.0.0.1", 1, COUNTER_TIMEOUT_SECONDS)
    tracemalloc.start()
    for number in range(count):
        client.increment(FIRST_COUNTER_ID + number, 1.0, COUNTER_LIFETIME_SECONDS, lambda _result: None)
    return MemoryUse(allocated_bytes())


def memory_of_classes(count: int) -> MemoryUse:
    """Return the memory of request classes: the decoded JSON, the settings, the gateway and the parser."""
    text = json.dumps(synthetic_settings(3, 1.0, count))
    tracemalloc.start()
    raw = json.loads(text)
    parsed = parse_settings(raw)
    retained = (raw, Gateway(parsed, 1, 0.0), RequestParser(parsed))
    memory = MemoryUse(allocated_bytes())
    del retained
    return memory
