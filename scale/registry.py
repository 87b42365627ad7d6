"""All scale tests, in the order in which they run."""

from __future__ import annotations

from scale import cpu, fleet, in_force, latency
from scale.memory.summary import TEST as MEMORY
from scale.messages.summary import TEST as MESSAGES
from scale.model import ScaleTest

TESTS: tuple[ScaleTest, ...] = (MEMORY, MESSAGES, cpu.TEST, latency.TEST, in_force.TEST, fleet.TEST)
