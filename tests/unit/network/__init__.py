"""Tests of the network helpers."""
