"""In-process stand-ins for the platform, with fault injection."""
