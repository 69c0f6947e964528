"""Learn the quality of versions."""
