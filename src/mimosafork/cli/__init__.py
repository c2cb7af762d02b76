"""The command line's entry point."""
