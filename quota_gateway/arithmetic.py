"""The two formulas that many parts share: an exponential moving average and a token bucket's refill."""


def moving_average(mean: float, sample: float, weight: float) -> float:
    """Move a mean towards a sample by ``weight`` (0 to 1); a mean of 0 has seen none and takes the first."""
    return mean + (weight if mean else 1.0) * (sample - mean)


def refilled(tokens: float, rate: float, elapsed: float, capacity: float) -> float:
    """What a token bucket holds after ``elapsed`` seconds at ``rate`` tokens a second."""
    return min(capacity, tokens + rate * elapsed)
