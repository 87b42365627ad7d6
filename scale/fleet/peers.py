"""Stand-ins for the counter and the servers, written from the protocol page and the operators' brief.

They know the whole of a call when it arrives, so each answers at once with the time at which it would.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush, heapreplace
from random import Random

from scale.fleet import world

MOST_LIFETIME = 60.0  # seconds that the counter keeps a name at most
SPREAD = 0.25  # seconds over which the calls of like fleets are spread (assumed)


class Counter:
    """Adds in the order of arrival, one call at a time in each part; every call that arrives is added.

    ``calls`` is the capacity of all parts together, in calls a second (930 to 1,300 by the brief). Calls
    during a silence are not added and never answered, and the counter comes back empty.

    ``crowd``: so many fleets like the one that is played share the counter, so that a small one meets the
    queue of a whole one. Each of its calls stands for one of each other's in the next ``SPREAD`` seconds.
    """

    def __init__(
        self, parts: int, calls: float, seed: int,
        silences: tuple[tuple[float, float], ...] = (), slow: tuple[tuple[float, float, float], ...] = (),
        crowd: int = 1,
    ) -> None:  # fmt: skip
        self._crowd, self._others, self._spread = crowd, list[float](), Random(f"{seed} crowd")
        self._mean = parts / calls
        self._free, self._rngs = [0.0] * parts, [Random(f"{seed} counter {i}") for i in range(parts)]
        self._totals = dict[int, tuple[float, float]]()  # by name: total, until when it is kept
        self._silences, self._slow = silences, slow
        self._emptied = 0.0
        self.served, self.units, self.busy = 0, 0.0, 0.0

    def part(self, name: int) -> int:
        return name % len(self._free)

    def call(self, at: float, name: int, amount: float, lifetime: float) -> tuple[float, float] | None:
        """The time of the answer and the total; None where no answer ever comes. ``at`` never falls."""
        for begin, end in self._silences:
            if begin <= at < end:
                return None
            if self._emptied < end <= at:
                self._totals, self._emptied = {}, end
        while self._others and self._others[0] <= at:
            other = heappop(self._others)
            self._turn(other, self._spread.randrange(len(self._free)))
        for _ in range(self._crowd - 1):
            heappush(self._others, at + SPREAD * self._spread.random())
        part = self.part(name)
        begin, done = self._turn(at, part)
        if any(silent <= done and begin < end for silent, end in self._silences):
            return None  # it falls silent before the call's turn has ended
        total, until = self._totals.get(name, (0.0, 0.0))
        if done >= until:
            total, until = 0.0, done + min(MOST_LIFETIME, lifetime)
        total += amount
        self._totals[name] = total, until
        self.served, self.units = self.served + 1, self.units + abs(amount)
        return done, total

    def _turn(self, at: float, part: int) -> tuple[float, float]:
        """When a call begins and ends, behind those that came before."""
        took = self._mean * self._rngs[part].uniform(0.4, 1.6)
        for begin, end, times in self._slow:
            took *= times if begin <= at < end else 1.0
        begin = max(at, self._free[part])
        self._free[part] = done = begin + took
        self.busy += took
        return begin, done


class Discovery:
    """Where no agent stands by: it serves the calls for the list in turn, also those that were given up.

    ``calls``: so many a second. A call begins a watch, on which changes are pushed and cost nothing more.
    """

    def __init__(self, calls: float) -> None:
        self._takes, self._free = 1 / calls, 0.0

    def call(self, at: float) -> float:
        """The time of the answer; ``at`` never falls."""
        self._free = max(at, self._free) + self._takes
        return self._free


class Server:
    """Several cores that serve one queue; it starts cold, warms up in line with time and may fall over.

    Falling: work that arrived within the window is more than the multiple of what it can do at that moment.
    Attempts that run at that moment are still answered: their answers are known when they arrive.
    """

    __slots__ = ("_free", "_recent", "_sum", "_waiting", "born", "fallen", "reboots")

    def __init__(self, reboots: float) -> None:
        self.born, self.reboots = float("-inf"), reboots
        self.fallen = False
        self._reset()

    def _reset(self) -> None:
        self._free = [0.0] * world.CORES
        self._waiting = deque[float]()  # when each of those that wait begins
        self._recent, self._sum = deque[tuple[float, float]](), 0.0

    def warmth(self, at: float) -> float:
        return min(1.0, world.COLD_SHARE + (1 - world.COLD_SHARE) * (at - self.born) / world.WARM_AFTER)

    def arrive(self, at: float, work: float, timeout: float) -> tuple[str, float]:
        """How the attempt ends and when: "ok", "full", "unreachable", or "silent" where nothing comes."""
        if at >= self.reboots > 0 and self.born != self.reboots:
            self.born = self.reboots
            self._reset()
        if self.fallen:
            return "unreachable", at
        warmth = self.warmth(at)
        if warmth < 1:
            self._recent.append((at, work))
            self._sum += work
            while self._recent[0][0] <= at - world.FALL_WINDOW:
                self._sum -= self._recent.popleft()[1]
            if self._sum > world.FALL_MULTIPLE * world.CORES * warmth * world.FALL_WINDOW:
                self.fallen = True
                return "unreachable", at
        waiting = self._waiting
        while waiting and waiting[0] <= at:
            waiting.popleft()
        if len(waiting) >= world.ROOM:
            return "full", at
        begin = max(at, self._free[0])
        if begin > at:
            waiting.append(begin)
        if begin > at + timeout:
            return "silent", begin  # its time is over before its turn: it is not begun
        done = begin + work / self.warmth(begin)
        heapreplace(self._free, done)
        return "ok", done
