"""Measurements of policies and paths, each printed by the command that ran it."""
