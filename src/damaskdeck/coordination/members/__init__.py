"""Who is up, and who decides about what."""
