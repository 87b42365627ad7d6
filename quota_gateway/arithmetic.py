"""Shared formulas: an exponential moving average and the refill of a token bucket."""


def moving_average(mean: float, sample: float, weight: float) -> float:
    """Return the average after a sample with ``weight`` (0 to 1); a mean of 0 is replaced by the sample."""
    return mean + (weight if mean else 1.0) * (sample - mean)


def refilled(tokens: float, rate: float, elapsed: float, capacity: float) -> float:
    """Return the content of a token bucket after ``elapsed`` seconds at ``rate`` tokens per second."""
    return min(capacity, tokens + rate * elapsed)
