"""What the limiter costs at a size: slopes measured on the real program and on simulated limiters."""
