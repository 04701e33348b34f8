"""The HTTP API for operators and callers."""
