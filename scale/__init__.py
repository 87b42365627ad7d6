"""Scale tests: the cost of a limiter in a fleet of a given size, from real and simulated limiters."""
