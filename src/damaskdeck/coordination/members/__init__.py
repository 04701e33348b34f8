"""Membership of the daemons, and ownership of shards by them."""
