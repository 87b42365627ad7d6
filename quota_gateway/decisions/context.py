"""The context that all parts of the decisions share: settings, random numbers and the list of actions."""

from dataclasses import dataclass, field
from random import Random

from quota_gateway.model import Action, Plan, RequestClass, Settings

REFERENCE_LATENCY_FRACTION = 0.5  # fraction of the latency objective that counts as the reference load
DEFAULT_OBJECTIVE_SECONDS = 1.0  # latency objective if the settings define no request class


@dataclass(slots=True, eq=False)
class Context:
    """The state that all parts of one gateway share; they append their actions to ``actions``."""

    settings: Settings
    rng: Random
    started_at: float
    actions: list[Action] = field(default_factory=list)  # in response to the event that is being handled
    process_count: int = 1  # processes of this limiter, which share its limits
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(init=False)
    # Seconds without a response after which an endpoint is unresponsive.
    unresponsive_timeout: float = field(init=False)
    # Target time in seconds that a request spends at an endpoint.
    target_residence_time: float = field(init=False)

    def __post_init__(self) -> None:
        self.reconfigure(self.settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        # Removed classes stay valid: some of their requests may not have reached the gateway yet.
        self.classes |= {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        objectives = [request_class.latency_objective for request_class in settings.classes]
        objectives = objectives or [DEFAULT_OBJECTIVE_SECONDS]
        self.unresponsive_timeout = REFERENCE_LATENCY_FRACTION * min(objectives)
        # One target for all classes: with its own target, the class with the shortest objective would starve.
        self.target_residence_time = REFERENCE_LATENCY_FRACTION * sum(objectives) / len(objectives)

    def set_process_count(self, count: int) -> None:
        """Share all limits among this number of processes."""
        self.process_count = max(1, count)
