"""Serving layer for prompts of very different lengths, configured declaratively."""

__version__ = "0.1.0"
