"""Settings of each role, read from JSON with comments and checked."""
