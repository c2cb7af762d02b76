"""Typed input messages and output effects of the kernel, by topic."""
