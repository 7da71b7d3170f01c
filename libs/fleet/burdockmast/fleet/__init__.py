"""The configuration of the fleet and how it reaches every process."""
