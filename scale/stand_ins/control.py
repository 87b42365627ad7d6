"""Commands to the process of the stand-ins and its replies, as lines of JSON on its standard streams."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from scale.stand_ins.counter import CounterSpec, CounterStats
from scale.stand_ins.endpoints import EndpointsSpec


@dataclass(frozen=True, slots=True)
class Setup:
    """The first command, with the specifications of the stand-ins."""

    list_length: int  # entries of the endpoint list
    endpoints: EndpointsSpec
    counter: CounterSpec
    seed: int

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> Setup:
        """Create the setup from the fields of its line."""
        return cls(
            list_length=fields["list_length"],
            endpoints=EndpointsSpec(**fields["endpoints"]),
            counter=CounterSpec(**fields["counter"]),
            seed=fields["seed"],
        )

    def to_json(self) -> dict[str, Any]:
        """Return the fields of the line."""
        return asdict(self)


@dataclass(frozen=True, slots=True)
class Addresses:
    """The reply to the setup: the addresses of the stand-ins as ``host:port``."""

    endpoints: list[str]
    counter: str
    discovery: str


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A command to publish a health for all endpoints at one port."""

    port: int  # index in ``Addresses.endpoints``
    health: str


@dataclass(frozen=True, slots=True)
class Stats:
    """The reply to each further command, a ``HealthChange`` or an empty object."""

    counter: CounterStats
    last_request_at: dict[str, float]  # see ``EndpointsStandIn``
    published_at: float | None = None  # seconds of ``time.monotonic``, after a health change

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> Stats:
        """Create the stats from the fields of their line."""
        return cls(
            counter=CounterStats(**fields["counter"]),
            last_request_at=fields["last_request_at"],
            published_at=fields["published_at"],
        )
