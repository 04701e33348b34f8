"""Network connections: HTTP servers and clients, and streams between daemons."""
