"""Clients of the platform's Object API, and journals stored through it."""
