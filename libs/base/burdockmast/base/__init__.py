"""Shared by all packages: ids, failures, logs, metrics and timers."""
