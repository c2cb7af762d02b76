"""Logs as numbered events, and metrics, both from one catalogue."""
