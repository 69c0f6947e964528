"""Developer tools, which are not part of the built executable."""
