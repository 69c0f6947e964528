"""One subpackage per component; importing it registers the component."""
