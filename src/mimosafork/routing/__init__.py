"""What a deployment routes: its routes, services, endpoints and client accounts."""
