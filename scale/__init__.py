"""Scale tests: the limiter's cost at a size, from slopes of the real program and of simulated limiters."""
