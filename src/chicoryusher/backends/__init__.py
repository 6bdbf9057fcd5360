"""Back ends: encodings that instances speak."""
