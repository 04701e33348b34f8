"""Requests to services: admission, slots, forwarding, retries."""
