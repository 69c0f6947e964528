"""A short run of the whole system that counts its promises."""
