"""Errors of the soak test."""


class SoakError(Exception):
    """The scenario cannot be run, and there is no verdict; the message states the cause."""
