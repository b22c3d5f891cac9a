"""The entry node process, `snipelugd`."""
