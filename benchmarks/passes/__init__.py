"""Placement policies on a model of engines that work in passes, in virtual time."""
