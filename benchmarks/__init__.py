"""Benchmarks of the scheduler; run with ``python -m benchmarks NAME --json``."""
