"""HTTP towards endpoints and the platform, by IP number."""
