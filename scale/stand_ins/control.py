"""What the stand-ins' process is asked and answers: one JSON object a line on its standard streams."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from scale.stand_ins.counter import CounterSpec, CounterStats
from scale.stand_ins.endpoints import EndpointsSpec


@dataclass(frozen=True, slots=True)
class Setup:
    """The first line: what to play."""

    list_length: int  # entries of the endpoint list
    endpoints: EndpointsSpec
    counter: CounterSpec
    seed: int

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> Setup:
        """The setup of a line that has been parsed."""
        return cls(
            list_length=fields["list_length"],
            endpoints=EndpointsSpec(**fields["endpoints"]),
            counter=CounterSpec(**fields["counter"]),
            seed=fields["seed"],
        )

    def to_json(self) -> dict[str, Any]:
        """The fields of its line."""
        return asdict(self)


@dataclass(frozen=True, slots=True)
class Addresses:
    """The answer to the setup: where the stand-ins listen, each as ``host:port``."""

    endpoints: list[str]
    counter: str
    discovery: str


@dataclass(frozen=True, slots=True)
class HealthChange:
    """Publish a new health of all endpoints behind one port."""

    port: int  # index
    health: str


@dataclass(frozen=True, slots=True)
class Stats:
    """The answer to each further line, a ``HealthChange`` or an empty object."""

    counter: CounterStats
    last_request_at: dict[str, float]  # see ``EndpointsStandIn``
    published_at: float | None = None  # seconds of ``time.monotonic``, after a health change

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> Stats:
        """The stats of a line that has been parsed."""
        return cls(
            counter=CounterStats(**fields["counter"]),
            last_request_at=fields["last_request_at"],
            published_at=fields["published_at"],
        )
