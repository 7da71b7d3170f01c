"""Loads, experiments and the capacity page, against the stand-ins."""
