"""damaskdeck, a cluster scheduler for services, batch jobs and gangs."""

__version__ = "0.1.0"
