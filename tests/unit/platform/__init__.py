"""Tests of platform."""
