"""Settings of the decisions: request classes, customers' plans and the limits of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MIN_OBJECTIVE_SECONDS = 0.01  # least latency objective of a class that the settings do not name
MIN_POSITIVE = 1e-9  # least fraction or time that counts as greater than zero


class InvalidSettingsError(ValueError):
    """Settings that no gateway can run with; the text names the field and its minimum."""


class Idempotency(Enum):
    """Where a request may be repeated if it may have been executed already."""

    INHERENT = "inherent"  # anywhere: a second execution has no effect
    KEYED = "keyed"  # at endpoints of the deduplication scope, within the deduplication window
    NONE = "none"  # nowhere


class DeduplicationScope(Enum):
    """The group of endpoints that recognise an idempotency key, and drop the repeat."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request with its objectives."""

    name: str
    latency_objective: float  # seconds
    priority_weight: float  # value of one response within the objective
    idempotency: Idempotency
    late_weight: float = 0.0  # value of a response after the objective and before the deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # seconds for which the endpoints recognise an idempotency key
    deadline: float = 0.0  # seconds that the client waits, whatever the number of attempts; 0: unknown

    @classmethod
    def unknown(cls, name: str, timeout: float) -> RequestClass:
        """Return a class that the settings do not name: not idempotent, with the timeout as objective."""
        return cls(name, max(timeout, MIN_OBJECTIVE_SECONDS), 1.0, Idempotency.NONE)


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's tariff; its limits apply to the sum over all gateways."""

    name: str
    price: float = 1.0  # factor on the priority weight
    rate: float = 0.0  # units per second; 0: no quota
    burst: float = 0.0  # capacity of the quota's bucket in units
    concurrency_limit: int = 0  # requests in flight; 0: no limit
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0  # hard limit in units per second; 0: no ceiling
    ceiling_burst: float = 0.0  # capacity of the ceiling's bucket in units


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of the decisions."""

    gateway_index: int  # from 0
    gateway_count: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int = 1  # per request
    may_hedge: bool = False
    may_cancel: bool = False
    may_check_health: bool = False
    load_in_health_check: bool = False  # health checks request a load report
    has_counter: bool = False
    counter_timeout: float = 0.0  # seconds
    max_units: float = 1.0  # most units that one request may cost
    max_retry_after: float = 0.0  # seconds
    initial_capacity: float = 1.0  # fraction of its full capacity that an endpoint has when it starts
    warm_up_time: float = 0.0  # seconds until an endpoint has its full capacity
    overload_multiple: float = 1.0  # load, relative to current capacity, at which a warming endpoint fails
    overload_window: float = 1.0  # seconds over which that load is measured

    def validate(self) -> None:
        """Raise ``InvalidSettingsError`` if a value is below the minimum that the decisions rely on."""
        min_values = {
            "gateway_count": (self.gateway_count, 1),
            "max_attempts": (self.max_attempts, 1),
            "initial_capacity": (self.initial_capacity, MIN_POSITIVE),
            "overload_window": (self.overload_window, MIN_POSITIVE),
            "warm_up_time": (self.warm_up_time, 0),
            "counter_timeout": (self.counter_timeout, 0),
        }
        for field, (value, minimum) in min_values.items():
            if value < minimum:
                raise InvalidSettingsError(
                    f"invalid setting: {field} is {value}, but must be at least {minimum}"
                )
