"""Crash suspicions in the table service."""
