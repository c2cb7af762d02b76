"""Leases in the table service: one holder for each availability zone and duty."""
