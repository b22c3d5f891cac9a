"""Relay of requests whose routes an operator keeps in the platform's store."""
