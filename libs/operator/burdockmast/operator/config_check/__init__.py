"""Checks a configuration before it is sent to the platform."""
