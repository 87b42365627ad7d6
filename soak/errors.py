"""Errors of the soak test."""


class SoakError(Exception):
    """The scenario cannot be run, so that there is no verdict; the text names the cause."""
