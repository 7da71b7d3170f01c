"""Stand-ins and helpers for the scripted cases of the third review."""
