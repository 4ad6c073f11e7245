"""Honor what backend servers say about themselves in their answers."""
