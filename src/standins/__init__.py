"""In-process stand-ins of the platform, with faults that can be injected."""
