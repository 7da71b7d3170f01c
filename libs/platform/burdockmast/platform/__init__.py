"""Adapter between the gateway and the prepared platform.

All names that the platform uses on the wire are decoded here, once.
"""
