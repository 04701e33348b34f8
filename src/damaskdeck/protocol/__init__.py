"""Typed messages, resources, outcomes and the ports to the platform."""
