"""Find versions that turned bad, and hold them."""
