"""Queues of jobs on pools of workers.

One daemon, the owner, makes all decisions; every daemon accepts jobs from callers.
"""
