"""The HTTP API for operators and for callers of services."""
