"""Overload protection: admission, retry limits and quarantine."""
