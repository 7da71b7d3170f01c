"""The configuration of the fleet and its distribution to all processes."""
