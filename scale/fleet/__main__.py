"""``python -m scale.fleet``: play one run and print it."""

from scale.fleet.command import main

if __name__ == "__main__":
    main(prog_name="python -m scale.fleet")
