"""The state that one process of a limiter hands over to the next one during an upgrade."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointHandover:
    """The state of one endpoint, valid for the incarnation that started at ``started_at``."""

    name: str
    started_at: float  # Unix time
    warming_since: float | None  # Unix time; None: not in slow start
    responses: int  # successful responses of this incarnation
    mean_slowdown: float  # mean latency of these responses divided by the idle latency
    slowdown: float  # recent latency divided by the idle latency
    work_rate: float  # work completed per second


@dataclass(frozen=True, slots=True)
class AccountHandover:
    """The state of a customer's account, and the part of the ceiling that moves to the next process."""

    plan: str
    account: str
    serving_gateways: int
    tokens: float  # estimated units in the global bucket
    guaranteed_tokens: float  # units of the guaranteed share
    ceiling_tokens: float  # units of the ceiling that the next process gets
    remote_usage_rate: float  # estimated usage of the other gateways in units per second
    last_synchronised: float  # Unix time of the counter's last total
    counter_total: float | None  # the counter's last total in units; None: no total received


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The complete state, sent once to a process that has just started; a value of 0 means unknown."""

    completion_rate: float  # work that a warm endpoint completes per second
    mean_work: float  # mean work of a request in seconds
    mean_units: float  # mean units of a request
    base_latencies: Mapping[str, float]  # idle latency in seconds, by request class
    endpoints: tuple[EndpointHandover, ...]
    accounts: tuple[AccountHandover, ...]
