"""Relays callers' requests to backend servers that form pipelines.

The backend servers of this role pass activations to each other; the gateway
chooses the path of each request and which server holds which layers.
"""
