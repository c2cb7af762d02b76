"""Routing configuration of a deployment: routes, services, endpoints and accounts."""
