"""Quarantine of requests that crash the engines that run them."""

from . import sole_run, stage

__all__ = ["sole_run", "stage"]
