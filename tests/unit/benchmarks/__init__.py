"""Tests of the models and tools that measure policies."""
