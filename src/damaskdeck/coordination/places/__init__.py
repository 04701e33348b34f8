"""Where tasks go: filters, scores, room, quarantine."""
