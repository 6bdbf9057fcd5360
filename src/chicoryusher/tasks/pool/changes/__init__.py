"""Changes of primary, step by step."""
