"""Relays callers' requests to backend servers that form pipelines.

The backend servers of a pipeline pass activations to each other. The gateway
chooses the path of each request and decides which server holds which layers.
"""
