"""The demo, run as ``python -m demo``."""
