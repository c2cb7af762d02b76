"""Tests of the gateway: framing, headers, attempts, policies and whole calls."""
