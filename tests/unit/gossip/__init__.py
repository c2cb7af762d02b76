"""Tests of the gossip among entry instances."""
