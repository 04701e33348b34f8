"""The declared configuration, and how it reaches every daemon."""
