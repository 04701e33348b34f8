"""The queue of waiting jobs and the order in which they are placed."""
