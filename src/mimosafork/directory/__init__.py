"""What this instance believes of the configuration and the endpoints, and why."""
