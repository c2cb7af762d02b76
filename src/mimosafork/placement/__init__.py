"""Placement of requests on engines, by the load that this instance knows of.

Nothing here does I/O or reads a clock; callers pass in the current time.
"""
