"""The program ``burdockmast`` and its command line."""
