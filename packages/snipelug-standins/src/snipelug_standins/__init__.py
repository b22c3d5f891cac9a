"""Stand-ins for external systems; each is a separate process that listens on TCP."""
