"""Commands, argument types and shared options of the command line."""
