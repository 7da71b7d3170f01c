"""The entry instance: callers' HTTP in front of the pipelines."""
