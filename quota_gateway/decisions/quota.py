"""One customer's quota at one gateway, and the calls to the counter that all gateways share."""

from hashlib import blake2b
from math import exp

from quota_gateway import model
from quota_gateway.model import CallStatus

CALLS = 300.0  # calls a second to the counter, thought possible at first by all, and at most by one
# Calls a second that one may make more, a second later, while the counter answers quickly, and at most by
# each answer: who hears of the line four times a second must not outrun what it hears.
RISE = 5.0
STEP = 0.01  # of the rate, as cuts are a share of it: at small rates a fixed step outran them
DEMAND = 2.0  # seconds that the demand of a customer here is a mean of
LEASED = 0.5  # of a gateway's part of what a store holds: the rest is for who comes meanwhile
LINE = 0.25  # of the time-out above the usual: answers that take so much longer have waited in a line


class CounterBudget:
    """How many calls the counter bears, and whether it answers at all."""

    def __init__(self, now: float, gateways: int, draw: float, timeout: float = 0.0) -> None:
        self.rate, self.least = CALLS / gateways, 2 * CALLS / gateways / 100
        self.usual, self.line = 0.0, LINE * timeout if timeout > 0 else float("inf")
        self.room = 0.2 * self.rate + draw  # in random debt: fresh fleets call in turn
        self.at, self.sign, self.silent_until, self.misses = now, now, 0.0, 0

    def left(self, now: float) -> float:
        """Calls that may be made now."""
        self.room = min(2 + 0.2 * self.rate, self.room + self.rate * max(0.0, now - self.at))
        self.at = max(self.at, now)
        return self.room if now >= self.silent_until else 0.0

    def ended(self, now: float, status: CallStatus, made: float, draw: float = 0.5) -> None:
        """One sign of silence is a queue or a break; two with no answer between are silence, for a while.

        All gateways see a silence at the same moment. So its length is drawn by each for itself and grows
        while nothing is answered, and who comes back has saved up no calls for it: after one second for all
        they came back as one crowd, which was the next silence.

        Calls that were out together end together, when their connection breaks or behind one queue: one
        event, one sign. Where each time-out of a burst counted, a crowd of calls passed for a silent counter,
        and when its second was over all gateways came back at once, with all they owed, to the next crowd.

        A break tells nothing of what the counter bears. It serves as well behind a rough network or a
        balancer that drops connections. It could do harm where a counter breaks each connection: every
        second call is then made in vain, and each costs its request the time of a break.
        """
        took = now - made
        if status is CallStatus.OK:
            self.usual += (took - self.usual) * (0.02 if took > self.usual > 0 else 0.5)
        slow = status is not CallStatus.OK or took > self.usual + self.line
        fresh, self.sign = made >= self.sign, now if slow else self.sign
        if status is CallStatus.OK:
            self.misses = 0
            # The line shows in the answers before it loses any. Where the rate rose until calls timed out, a
            # fleet rose as fast as it is large; at a slower rise busy gateways wanted calls that were there.
            if not slow:
                self.rate = min(CALLS, self.rate + min(STEP * self.rate, RISE / self.rate))
            elif fresh:
                self.rate = max(self.least, 0.95 * self.rate)
        elif status is not CallStatus.MALFORMED and fresh:
            self.misses += status is not CallStatus.OVERLOADED
            self.rate *= 1.0 if status is CallStatus.RESET_AFTER_REQUEST else 0.9
            self.rate = max(self.least, self.rate)
        if status not in (CallStatus.OK, CallStatus.OVERLOADED, CallStatus.MALFORMED) and self.misses > 1:
            self.silent_until = now + (0.5 + draw) * min(2.0, 0.5 * self.misses)
            self.at, self.room = self.silent_until, min(1.0, self.room)


class Account:
    """A customer's quota as this gateway knows it; many come once only, so it is kept small."""

    __slots__ = (
        "ahead", "asked", "at", "calls", "ceiling", "demand", "demand_at", "floor", "floor_cap",
        "lease", "level", "name", "open", "others", "pending", "plan", "share", "synced", "thin", "total",
        "ways",
    )  # fmt: skip

    def __init__(
        self, now: float, ev: model.Request, plan: model.Plan, born: float, most: float, parts: int = 1
    ) -> None:
        self.plan, self.at, self.asked, self.synced = plan, now, now, born
        self.share = share = max(1, ev.serving_gateways)
        self.ways = share * parts  # two processes of one gateway have its share together
        label = f"{ev.plan} {ev.account}".encode()
        self.name = int.from_bytes(blake2b(label, digest_size=8).digest(), "big") >> 1
        self.level = plan.burst + plan.rate * (now - born)  # of the whole store; a reading cuts it
        self.replan(plan, most)
        self.floor = self.floor_cap
        # A restart finds the ceiling's store used, so the share fills from this instance's birth.
        self.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * (now - born)) / self.ways
        self.total: float | None = None
        self.others = plan.rate * (share - 1) / share * 0.3  # their use a second
        self.pending, self.open = 0.0, 0  # own use that the counter has not been told; attempts out
        self.calls = list[tuple[float, float, float]]()  # amount, the part of it that is to be leased, when
        # Units that the counter has as used and this gateway may still grant; those that are asked for.
        self.lease = self.ahead = 0.0
        self.demand, self.demand_at = 0.0, now  # units a second asked for here, inside the quota or not

    def replan(self, plan: model.Plan, most: float) -> None:
        """The plan's terms, at first and when they change; what the stores hold is cut when they refill."""
        self.plan = plan
        self.thin = plan.burst < 2 * self.share  # the even share holds next to nothing
        self.floor_cap = max(plan.burst / self.share, min(most, plan.burst) * self.thin)

    def wanted(self, now: float, units: float) -> None:
        """A request asks for so many units: the demand here is a mean that forgets within seconds."""
        self.demand = self.demand_now(now) + units / DEMAND
        self.demand_at = now

    def demand_now(self, now: float) -> float:
        return self.demand * exp((self.demand_at - now) / DEMAND)

    def need(self, now: float, horizon: float) -> float:
        """Units worth asking for ahead: those of so many seconds, as far as this gateway's part of what the
        store holds covers them. A part by demand: an even one leaves the idle gateways' parts unused."""
        demand = self.demand_now(now)
        room = max(0.0, self.level - self.others * (now - self.synced))
        return min(demand * horizon, LEASED * room * demand / max(1e-9, demand + self.others)) - self.lease

    def give_back(self, units: float) -> None:
        """Units of the lease that are not needed: the store has them again, and the counter is told."""
        self.lease, self.level, self.pending = self.lease - units, self.level + units, self.pending - units

    def split(self, parts: int) -> float:
        """So many processes are this gateway: each has a part of what is left; gives that of one other."""
        before, self.ways = self.ways, self.share * parts
        if self.ways > before:
            self.ceiling *= before / self.ways
            return self.ceiling
        return 0.0

    def take(self, now: float, note: model.AccountHandover) -> None:
        """The notes of the process before: its count, and the part of the ceiling that it gave away."""
        self.refill(now)
        self.ceiling = min(self.plan.ceiling_burst / self.ways, self.ceiling + note.ceiling_tokens)
        self.floor = min(self.floor, note.guaranteed_tokens)
        if (
            self.total is None
            and not self.calls
            and note.counter_total is not None
            and note.last_synchronised <= now
        ):
            self.total, self.synced, self.others = (
                note.counter_total,
                note.last_synchronised,
                note.remote_usage_rate,
            )
            self.level = min(self.level, note.tokens) - self.pending

    def refill(self, now: float) -> None:
        plan, dt, self.at = self.plan, max(0.0, now - self.at), now
        self.level = min(plan.burst + plan.rate * (now - self.synced), self.level + plan.rate * dt)
        self.floor = min(self.floor_cap, self.floor + plan.rate / self.ways * dt)
        whole = self.ceiling * self.ways + plan.ceiling_rate * dt
        self.ceiling = min(plan.ceiling_burst, whole) / self.ways

    def settle(self, more: float) -> None:
        """The answer told the true units: the quota counts those, and so does what the counter is told."""
        self.level -= more
        self.floor = min(self.floor_cap, self.floor - more)
        self.pending += more

    def told(self, now: float, total: float, step: float, ahead: float) -> None:
        """The count answers: what the others used since the last total, and so what the store holds."""
        # A total that fell has expired, was flushed or restarted empty: what it holds came since. What was
        # given back here is no such fall.
        fallen = total - min(0.0, step) < (self.total or 0.0) * 0.5
        others = max(0.0, total - step) if fallen else total - step - (self.total or 0.0)
        age = max(0.05, now - self.synced)
        self.others += min(1.0, age / 3) * (max(0.0, others) / age - self.others)
        self.level -= others
        if self.total is None and self.level < -self.plan.burst:
            self.level = self.plan.burst / 2  # a count older than this instance tells nothing yet
        if fallen:
            self.pending += self.lease  # the counter has forgotten that this is taken
        self.total, self.synced = total, now
        # What a full store could not hold is counted as used: the count alone then tells the store.
        lost = max(0.0, self.level + self.lease + ahead - self.plan.burst)
        self.level -= lost
        self.pending += lost * (
            not self.thin or lost > 0.5 * self.plan.burst
        )  # another may tell a thin gate's
