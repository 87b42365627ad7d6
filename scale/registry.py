"""All scale tests, in the order in which they run."""

from __future__ import annotations

from scale import cpu
from scale.fleet.scale_test import TEST as FLEET
from scale.latency.summary import TEST as LATENCY
from scale.memory.summary import TEST as MEMORY
from scale.messages.summary import TEST as MESSAGES
from scale.model import ScaleTest
from scale.propagation.summary import TEST as PROPAGATION

TESTS: tuple[ScaleTest, ...] = (MEMORY, MESSAGES, cpu.TEST, LATENCY, PROPAGATION, FLEET)
