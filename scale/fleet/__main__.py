"""``python -m scale.fleet``: simulate one fleet and print the summary."""

from scale.fleet.command import main

if __name__ == "__main__":
    main(prog_name="python -m scale.fleet")
