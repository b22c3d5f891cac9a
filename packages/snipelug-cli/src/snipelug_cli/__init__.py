"""The operators' command line, `snipelug`."""
