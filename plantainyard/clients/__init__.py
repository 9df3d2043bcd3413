"""To be gathered."""
