"""Chooses the backend servers that run an answer."""
