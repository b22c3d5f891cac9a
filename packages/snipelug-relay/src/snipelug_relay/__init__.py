"""Relays requests along routes that an operator keeps in the platform's store."""
