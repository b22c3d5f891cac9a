"""The `snipelug` command line for operators."""
