"""Decisions: membership, ownership, routing, admission and placement."""
