"""Listing and freeing of holdings on engines."""
