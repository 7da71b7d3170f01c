"""Stand-ins of the platform, servers and clients for the second review."""
