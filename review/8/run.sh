#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:target/review-2 exec python3 review/8/case.py
