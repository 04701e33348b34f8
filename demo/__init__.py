"""A demo of a small deployment on a simulated platform: ``python -m demo``."""
