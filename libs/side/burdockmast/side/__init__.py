"""The side process, which runs beside each backend server."""
