"""Decides when calls to the platform's store may be left out."""
