"""Benchmarks; run with ``python -m benchmarks NAME --json``."""
