"""Stand-ins of outside systems, each a process of its own on TCP."""
