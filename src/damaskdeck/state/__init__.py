"""Ledgers, configuration, worker accounts, job state and quotas."""
