"""A model in virtual time of what callers get from gateways and engines.

The gateways decide by the product's own code. Engines, links and callers are
modelled by their published behaviour. No process or network is used, so that
loads on hundreds of servers are played in seconds.
"""
