"""Tests of the endpoint and configuration directory."""
