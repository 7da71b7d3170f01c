"""Definition, argument types and checks of the command line."""
