"""Stand-ins for the platform, servers and callers around real gateways."""
