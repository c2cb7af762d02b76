"""Tests of explanations from recorded logs."""
