"""View of the configuration and the endpoints that this instance maintains."""
