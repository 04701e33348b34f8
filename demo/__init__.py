"""A whole small deployment on stand-ins; run with ``python -m demo``."""
