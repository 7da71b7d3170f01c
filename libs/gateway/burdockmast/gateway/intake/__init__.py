"""Limits on what untrusted callers take of a gateway."""
