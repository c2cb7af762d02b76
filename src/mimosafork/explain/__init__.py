"""Explains from recorded log lines why something came to pass."""
