"""Calls to model engines and plain services."""
