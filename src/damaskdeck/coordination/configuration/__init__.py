"""The declared configuration and its distribution to all daemons."""
