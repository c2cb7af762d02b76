"""Placement of prompts beyond one engine's memory on a gang of engines."""

from . import placer

__all__ = ["placer"]
