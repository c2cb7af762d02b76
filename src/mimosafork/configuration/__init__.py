"""The accepted configuration: kept in the store, followed by every instance."""
