"""One folder per component; each registers itself with the kernel."""
