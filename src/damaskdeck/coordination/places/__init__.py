"""Placement of tasks: filters, scores, capacity, preemption and quarantine."""
