"""The judge: the pages' rules, checked on what everybody but the limiters saw, and on their own counts.

Each rule is one function from the ledger to the breaks it finds. Times get the slack of the rule, 50 ms more
as on sockets everywhere, and as much as the runner was late around that moment.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from soak.endpoint_rules import drained, overloaded, suspended
from soak.ledger import Ledger
from soak.process_rules import counts, crashes, operators
from soak.request_rules import bad_clients, ceilings, deadlines, duplicates, gone_clients, lost, spoilt
from soak.verdict import Break

Rule = Callable[[Ledger], Iterator[Break]]

RULES: tuple[Rule, ...] = (
    lost, spoilt, duplicates, drained, suspended, overloaded, gone_clients, deadlines, ceilings, bad_clients,
    operators, crashes, counts,
)  # fmt: skip


def judge(ledger: Ledger) -> list[Break]:
    """All broken rules in the order of their moments."""
    found = [each for rule in RULES for each in rule(ledger)]
    return sorted(found, key=lambda each: each.at)
