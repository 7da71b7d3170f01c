"""Settings of each role, loaded from JSON5 files and validated."""
