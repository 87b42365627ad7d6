"""Gateway with random events: no order of events violates an invariant, and every run can be reproduced."""

from __future__ import annotations

import os
import subprocess
import sys

import hypothesis
from hypothesis import strategies as st

from tests.random_events import run_random_events
from tests.simulation import make_settings

PRINT_DIGEST_OF_A_RUN = """
from hashlib import sha256
from tests.random_events import run_random_events
print(sha256(repr(run_random_events(7, 400)).encode()).hexdigest())
"""


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.integers(0, 2**32), st.integers(1, 4), st.booleans())
def test_invariants_hold_in_any_legal_order_of_events(
    seed: int, max_attempts: int, has_counter: bool
) -> None:
    run_random_events(seed, 150, make_settings(max_attempts=max_attempts, has_counter=has_counter))


def test_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    digests: set[str] = set()
    for hash_seed in ("0", "1", "4242"):
        completed = subprocess.run(
            [sys.executable, "-c", PRINT_DIGEST_OF_A_RUN],
            env=dict(os.environ, PYTHONHASHSEED=hash_seed),
            capture_output=True,
            text=True,
            check=True,
        )
        digests.add(completed.stdout)
    assert len(digests) == 1
