"""Developers' tools that read the code and write or check pages about it."""
