"""Choose a replica by estimated load; decisions only, no input or output."""
