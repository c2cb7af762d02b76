"""Kinds of entries; importing this registers those that ship with the product."""

from . import cache, demand, endpoints, instances, quarantine

__all__ = ["cache", "demand", "endpoints", "instances", "quarantine"]
