"""The entry instance: serves callers over HTTP from the pipelines."""
