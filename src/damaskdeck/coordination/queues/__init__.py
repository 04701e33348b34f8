"""In which order waiting work gets its turn."""
