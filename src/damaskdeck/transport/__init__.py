"""Connections: HTTP in and out, and the streams between peers."""
