"""The platform's Object API, and journals kept in it."""
