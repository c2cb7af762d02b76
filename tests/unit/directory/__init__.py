"""Tests of directory."""
