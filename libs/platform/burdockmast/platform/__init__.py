"""Adapter between the gateway and the platform that it is deployed on.

The names that the platform uses on the wire are read and written only here.
"""
