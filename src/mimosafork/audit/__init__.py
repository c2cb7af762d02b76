"""The audit trail: who changed what and when, in the platform's table service."""
