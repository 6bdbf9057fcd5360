"""Front ends: encodings that callers speak."""
