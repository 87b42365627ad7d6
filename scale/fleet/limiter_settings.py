"""The settings of a simulated limiter."""

from __future__ import annotations

from quota_gateway import model
from scale.fleet.discovery import zone_name
from scale.fleet.parameters import (
    COUNTER_TIMEOUT_SECONDS,
    ENDPOINT_WARM_UP_SECONDS,
    INITIAL_CAPACITY_FRACTION,
    MAX_ATTEMPTS,
    MAX_RETRY_AFTER_SECONDS,
    MAX_UNITS,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_SECONDS,
    REQUEST_KINDS,
    RequestKind,
)
from scale.fleet.scenario import World
from scale.fleet.tenants import PlanTerms

_PRICE_SCALE = 10  # ``PlanTerms.price`` is in tenths, ``model.Plan.price`` is not


def limiter_settings(world: World, index: int) -> model.Settings:
    """Return the settings of one limiter."""
    return model.Settings(
        gateway_index=index,
        gateway_count=world.size.limiters,
        zone=zone_name(world.topology.zone(index)),
        classes=tuple(_request_class(kind) for kind in REQUEST_KINDS),
        plans=tuple(_plan(terms) for terms in world.plans),
        max_attempts=MAX_ATTEMPTS,
        may_check_health=True,
        has_counter=True,
        counter_timeout=COUNTER_TIMEOUT_SECONDS,
        max_units=float(MAX_UNITS),
        max_retry_after=MAX_RETRY_AFTER_SECONDS,
        initial_capacity=INITIAL_CAPACITY_FRACTION,
        warm_up_time=ENDPOINT_WARM_UP_SECONDS,
        overload_multiple=OVERLOAD_FACTOR,
        overload_window=OVERLOAD_WINDOW_SECONDS,
    )


def _request_class(kind: RequestKind) -> model.RequestClass:
    idempotency = model.Idempotency.KEYED if kind.needs_idempotency_key else model.Idempotency.INHERENT
    return model.RequestClass(
        kind.name,
        latency_objective=kind.latency_objective,
        priority_weight=float(kind.priority_weight),
        idempotency=idempotency,
        late_weight=kind.late_weight,
        deduplication_scope=model.DeduplicationScope.CELL,
        deduplication_window=kind.deduplication_window,
        deadline=kind.deadline,
    )


def _plan(terms: PlanTerms) -> model.Plan:
    return model.Plan(
        terms.name,
        price=terms.price / _PRICE_SCALE,
        rate=terms.rate,
        burst=terms.burst,
        over_quota_cost=terms.over_quota_cost,
        ceiling_rate=terms.ceiling_rate,
        ceiling_burst=terms.ceiling_burst,
    )
