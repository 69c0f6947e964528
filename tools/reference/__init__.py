"""Write the reference pages that are generated from the code."""
