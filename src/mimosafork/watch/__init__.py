"""Probing of endpoints for their load and their cache events."""
