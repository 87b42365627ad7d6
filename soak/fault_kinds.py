"""The fault kinds of the scenarios, and the family, target and effect of each kind."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum


class FaultFamily(Enum):
    """The part of the system that fails. Faults that overlap in one group are of different families.

    Scenarios draw families by position: reordering the members would change the scenario of every seed.
    """

    PROCESS = "process"
    ENDPOINT = "endpoint"
    NETWORK = "network"
    SYSTEM = "system"
    CLIENT = "client"


class FaultTarget(Enum):
    """Whether a fault affects limiters or endpoints."""

    LIMITERS = "limiters"
    ENDPOINTS = "endpoints"


class FaultKind(StrEnum):
    """The fault kinds; ``FAULT_SPECS`` describes their effects. Printed scenarios contain the values."""

    KILL = "kill"
    RELOAD = "reload"
    RELOAD_TWICE = "reload_twice"
    RESTART = "restart"
    STOP = "stop"
    RESTART_WHILE_STOPPED = "restart_while_stopped"
    SUSPEND_ENDPOINT = "suspend_endpoint"
    SUSPEND_ENDPOINT_AND_UPGRADE = "suspend_endpoint_and_upgrade"
    UPGRADE = "upgrade"
    UPGRADE_ROLLED_BACK = "upgrade_rolled_back"
    UPGRADE_BOTH_TERMINATED = "upgrade_both_terminated"
    UPGRADE_WHILE_STOPPED = "upgrade_while_stopped"
    RELOAD_SERIES = "reload_series"
    SIGNALS_IN_SHUTDOWN = "signals_in_shutdown"
    UPGRADE_ABORTED = "upgrade_aborted"
    UPGRADE_WITH_SIGNALS = "upgrade_with_signals"
    RESTART_DURING_DRAIN = "restart_during_drain"
    STOP_DURING_DRAIN = "stop_during_drain"

    RESTART_WARMING_UP = "restart_warming_up"
    RESTART_WITH_EARLIER_START_TIME = "restart_with_earlier_start_time"
    DRAIN = "drain"
    INCOMPLETE_RESPONSES = "incomplete_responses"
    ERROR_RESPONSES = "error_responses"
    HANG = "hang"
    RESPONSES_WITHOUT_LENGTH = "responses_without_length"
    FRAGMENTED_RESPONSES = "fragmented_responses"
    CONNECTION_RESETS = "connection_resets"
    SLOW_RESPONSES = "slow_responses"
    LATE_BODIES = "late_bodies"
    REJECTIONS = "rejections"

    COUNTER_DELAY = "counter_delay"
    COUNTER_DOWN = "counter_down"
    COUNTER_UNRESPONSIVE = "counter_unresponsive"
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_FRAGMENTED = "discovery_fragmented"
    DISCOVERY_UNRESPONSIVE = "discovery_unresponsive"
    NETWORK_BLACKHOLE = "network_blackhole"
    NETWORK_DELAY = "network_delay"
    NETWORK_RESETS = "network_resets"
    NETWORK_FRAGMENTATION = "network_fragmentation"
    NETWORK_TRUNCATION = "network_truncation"

    ACCEPT_ERRORS = "accept_errors"
    CLOCK_STEP_BACK = "clock_step_back"
    CLOCK_STEP_FORWARD = "clock_step_forward"
    CONNECT_ERRORS = "connect_errors"
    SHARED_DIRECTORY_IO_ERRORS = "shared_directory_io_errors"
    SHARED_DIRECTORY_FULL = "shared_directory_full"
    INTERRUPTED_WAITS = "interrupted_waits"
    SHARED_DIRECTORY_LOCK_ERRORS = "shared_directory_lock_errors"
    READ_ERRORS = "read_errors"
    SHORT_TRANSFERS = "short_transfers"
    SOCKET_ERRORS = "socket_errors"

    TRAFFIC_BURST = "traffic_burst"
    HALF_CLOSE = "half_close"
    DISCONNECT = "disconnect"
    PIPELINING = "pipelining"
    IMMEDIATE_RETRIES = "immediate_retries"
    FRAGMENTED_REQUESTS = "fragmented_requests"
    INCOMPLETE_REQUESTS = "incomplete_requests"
    LONG_UPLOADS = "long_uploads"
    IDLE_BETWEEN_REQUESTS = "resting_clients"
    CONNECTION_FLOOD = "crowd"
    HOSTILE_CROWD = "hostile_crowd"
    REQUEST_FLOOD = "request_flood"


# Scenario versions.
FIRST_VERSION = 1
LATEST_VERSION = 4


@dataclass(frozen=True, slots=True)
class FaultSpec:
    """The family, target and effect of a fault kind."""

    family: FaultFamily
    target: FaultTarget
    description: str
    since_version: int = FIRST_VERSION  # first scenario version that contains the kind


def _specs(
    family: FaultFamily,
    target: FaultTarget,
    descriptions: dict[FaultKind, str],
    since_version: int = FIRST_VERSION,
) -> dict[FaultKind, FaultSpec]:
    return {kind: FaultSpec(family, target, text, since_version) for kind, text in descriptions.items()}


# Scenarios draw a kind by its position within its family: reordering kinds would change every scenario.
FAULT_SPECS: dict[FaultKind, FaultSpec] = {
    **_specs(
        FaultFamily.PROCESS,
        FaultTarget.LIMITERS,
        {
            FaultKind.KILL: "SIGKILL; a new process starts after half of the fault's duration",
            FaultKind.RELOAD: "SIGHUP with a new discovery address; the old one closes 1.5 s later",
            FaultKind.RELOAD_TWICE: "two reloads; the second begins before the first has ended",
            FaultKind.RESTART: "SIGTERM, SIGKILL after a timeout, and a new process at the same address",
            FaultKind.STOP: "SIGSTOP, then SIGCONT within the duration",
            FaultKind.RESTART_WHILE_STOPPED: "SIGSTOP, SIGTERM and SIGCONT, then a new process",
            FaultKind.SUSPEND_ENDPOINT: "SUSPEND of an endpoint, and RESTORE 1 s after the fault's duration",
            FaultKind.SUSPEND_ENDPOINT_AND_UPGRADE: (
                "SUSPEND, in half of the cases while the shared directory is full; an upgrade; RESTORE"
            ),
            FaultKind.UPGRADE: "a second process starts, then the first one gets SIGTERM",
            FaultKind.UPGRADE_ROLLED_BACK: "a second process starts, then the second one gets SIGTERM",
            FaultKind.UPGRADE_BOTH_TERMINATED: "a second process starts, both get SIGTERM, a third starts",
            FaultKind.UPGRADE_WHILE_STOPPED: (
                "a second process starts while the first one is stopped, which then gets SIGCONT and SIGTERM"
            ),
        },
    ),
    **_specs(
        FaultFamily.ENDPOINT,
        FaultTarget.ENDPOINTS,
        {
            FaultKind.RESTART_WARMING_UP: "the endpoint restarts as a new incarnation and warms up",
            FaultKind.RESTART_WITH_EARLIER_START_TIME: "the endpoint restarts, with a start time an hour ago",
            FaultKind.DRAIN: "the endpoint drains, and is ready again 6 s after the fault's duration",
            FaultKind.INCOMPLETE_RESPONSES: "responses are shorter than their Content-Length",
            FaultKind.ERROR_RESPONSES: "half of the requests get status 500",
            FaultKind.HANG: "requests are accepted and get no response",
            FaultKind.RESPONSES_WITHOUT_LENGTH: "responses have no length and end with the connection",
            FaultKind.FRAGMENTED_RESPONSES: "responses are sent in fragments; some responses are long",
            FaultKind.CONNECTION_RESETS: "connections are reset while a request is executed",
            FaultKind.SLOW_RESPONSES: "responses take five times as long",
            FaultKind.REJECTIONS: "half of the requests are rejected without execution",
        },
    ),
    **_specs(
        FaultFamily.NETWORK,
        FaultTarget.LIMITERS,
        {
            FaultKind.COUNTER_DELAY: "the counter's replies are delayed by 60 ms",
            FaultKind.COUNTER_DOWN: "the counter refuses connections and resets the open ones",
            FaultKind.COUNTER_UNRESPONSIVE: "connections to the counter stay open, but it does not reply",
            FaultKind.DISCOVERY_DOWN: "discovery refuses connections and resets the open ones",
            FaultKind.DISCOVERY_FRAGMENTED: "data from discovery arrives in fragments of 200 bytes",
            FaultKind.DISCOVERY_UNRESPONSIVE: "connections to discovery stay open, but it sends nothing",
        },
    ),
    **_specs(
        FaultFamily.NETWORK,
        FaultTarget.ENDPOINTS,
        {
            FaultKind.NETWORK_BLACKHOLE: "the connections to an endpoint stay open and transfer nothing",
            FaultKind.NETWORK_DELAY: "data to and from an endpoint is delayed by 50 to 150 ms each way",
            FaultKind.NETWORK_RESETS: "all connections to an endpoint are reset, five times",
            FaultKind.NETWORK_FRAGMENTATION: "data to and from an endpoint arrives in fragments of 50 bytes",
            FaultKind.NETWORK_TRUNCATION: "connections to an endpoint are reset in the middle of a response",
        },
    ),
    **_specs(
        FaultFamily.SYSTEM,
        FaultTarget.LIMITERS,
        {
            FaultKind.ACCEPT_ERRORS: "some accept calls fail: ECONNABORTED, ENFILE, ENOBUFS or ENOMEM",
            FaultKind.CLOCK_STEP_BACK: "the wall clock is stepped one hour back",
            FaultKind.CLOCK_STEP_FORWARD: "the wall clock is stepped one hour forward",
            FaultKind.CONNECT_ERRORS: "some connect calls fail: EADDRNOTAVAIL, ENETUNREACH or ENOBUFS",
            FaultKind.SHARED_DIRECTORY_IO_ERRORS: "reads and writes in the shared directory fail: EIO",
            FaultKind.SHARED_DIRECTORY_FULL: "writes in the shared directory fail: ENOSPC",
            FaultKind.INTERRUPTED_WAITS: "some epoll_wait calls fail: EINTR",
            FaultKind.SHARED_DIRECTORY_LOCK_ERRORS: "file locks in the shared directory fail: ENOLCK",
            FaultKind.READ_ERRORS: "some socket reads fail: ETIMEDOUT, EHOSTUNREACH or ECONNRESET",
            FaultKind.SHORT_TRANSFERS: "socket reads and writes transfer at most 7 bytes",
            FaultKind.SOCKET_ERRORS: "some socket calls fail: ENFILE or ENOBUFS",
        },
    ),
    **_specs(
        FaultFamily.CLIENT,
        FaultTarget.LIMITERS,
        {
            FaultKind.TRAFFIC_BURST: "the request rate is multiplied by four",
            FaultKind.HALF_CLOSE: "half of the clients close their sending side after the request",
            FaultKind.DISCONNECT: "half of the clients disconnect before the response",
            FaultKind.PIPELINING: "one client in four sends three pipelined requests",
            FaultKind.IMMEDIATE_RETRIES: "clients retry rejected requests at once",
            FaultKind.FRAGMENTED_REQUESTS: "half of the clients send the request's head in fragments",
            FaultKind.INCOMPLETE_REQUESTS: "one client in ten stops within a request and stays connected",
            FaultKind.LONG_UPLOADS: "one request in five is a long upload",
        },
    ),
    **_specs(
        FaultFamily.PROCESS,
        FaultTarget.LIMITERS,
        {
            FaultKind.RELOAD_SERIES: "four reloads with new discovery addresses, 0 to 0.2 s apart",
            FaultKind.SIGNALS_IN_SHUTDOWN: "SIGTERM; in the shutdown SIGHUP, SIGTERM, SIGHUP; a new process",
            FaultKind.UPGRADE_ABORTED: (
                "a second process gets SIGTERM 0.2 to 0.8 s after its start, around its readiness"
            ),
            FaultKind.UPGRADE_WITH_SIGNALS: (
                "an upgrade with SIGHUP to both processes before and after SIGTERM, and a second SIGTERM"
            ),
        },
        since_version=2,
    ),
    **_specs(
        FaultFamily.CLIENT,
        FaultTarget.LIMITERS,
        {
            FaultKind.IDLE_BETWEEN_REQUESTS: (
                "one client in four keeps a connection idle, and sends again later if it has not been closed"
            ),
            FaultKind.CONNECTION_FLOOD: "more idle clients connect than the limiter has descriptors for",
        },
        since_version=2,
    ),
    **_specs(
        FaultFamily.PROCESS,
        FaultTarget.LIMITERS,
        {
            FaultKind.RESTART_DURING_DRAIN: (
                "SIGTERM; endpoints drain; a new process, which starts for longer than the drain grace"
            ),
            FaultKind.STOP_DURING_DRAIN: (
                "SIGSTOP; endpoints drain; requests and SIGCONT after the drain grace"
            ),
        },
        since_version=3,
    ),
    **_specs(
        FaultFamily.ENDPOINT,
        FaultTarget.ENDPOINTS,
        {
            FaultKind.LATE_BODIES: (
                "half of the responses are long, with a length or chunked, and their body follows the head "
                "after 0.6 to 1.2 s"
            ),
        },
        since_version=4,
    ),
    **_specs(
        FaultFamily.CLIENT,
        FaultTarget.LIMITERS,
        {
            FaultKind.HOSTILE_CROWD: (
                "more clients than the limiter has connections for send heads of many fields or bodies of "
                "small chunks, and stop"
            ),
            FaultKind.REQUEST_FLOOD: "one client sends health checks on one connection at full speed",
        },
        since_version=4,
    ),
}
# From this version on, each scenario has a memory limit for its limiters.
FIRST_VERSION_WITH_MEMORY_LIMIT = 4
# From that version on, each scenario contains one of each of these faults, at any time.
RESOURCE_FAULTS = (FaultKind.LATE_BODIES, FaultKind.HOSTILE_CROWD, FaultKind.REQUEST_FLOOD)
# From this version on, each scenario contains one of these faults, which begins before all others.
FIRST_VERSION_WITH_DRAIN_FAULTS = 3
DRAIN_FAULTS = (FaultKind.RESTART_DURING_DRAIN, FaultKind.STOP_DURING_DRAIN)


def kinds_of(family: FaultFamily, version: int) -> list[FaultKind]:
    """Return the fault kinds of a family in a scenario version, in the order that scenarios draw from."""
    return [
        kind for kind, spec in FAULT_SPECS.items() if spec.family is family and spec.since_version <= version
    ]
