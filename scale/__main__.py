"""``python -m scale``: measures the limiter's cost at a size and compares it with the budget."""

from scale.cli import main

if __name__ == "__main__":
    main(prog_name="python -m scale")
