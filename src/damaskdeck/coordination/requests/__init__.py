"""Requests to services: admission, slots, forwarding and retries."""
