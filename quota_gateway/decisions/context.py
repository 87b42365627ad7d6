"""What all parts of the decisions share: settings, random numbers and the list of actions."""

from dataclasses import dataclass, field
from random import Random

from quota_gateway.model import Action, Plan, RequestClass, Settings

LATENCY_FRACTION = 0.5  # latency over its objective that reads as the reference load


@dataclass(slots=True, eq=False)
class Context:
    """Shared by the parts of one gateway; settings change in place."""

    settings: Settings
    rng: Random
    started_at: float
    actions: list[Action] = field(default_factory=list)  # of the event at hand
    process_count: int = 1  # processes of this gateway, which share what it may do
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(init=False)
    unresponsive_timeout: float = field(init=False)  # seconds for which an endpoint may owe answers
    target_residence_time: float = field(init=False)  # seconds of a request at an endpoint

    def __post_init__(self) -> None:
        self.reconfigure(self.settings)

    def reconfigure(self, settings: Settings) -> None:
        """Take new settings."""
        self.settings = settings
        # A class that went keeps its terms for what was on its way when it did.
        self.classes |= {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        objectives = [request_class.latency_objective for request_class in settings.classes] or [1.0]
        self.unresponsive_timeout = LATENCY_FRACTION * min(objectives)
        # One for all classes: the class with the shortest would find the endpoints always full.
        self.target_residence_time = LATENCY_FRACTION * sum(objectives) / len(objectives)
