"""Ledgers, configuration, resource accounts and quotas."""
