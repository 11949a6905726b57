"""Configuration: read once, checked, and handed on as typed values."""
