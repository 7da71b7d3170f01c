"""Small stand-ins for the outside systems, for tests, demos and benches."""
