"""Decision logic of snipelug: no input or output, clock and randomness passed in."""
