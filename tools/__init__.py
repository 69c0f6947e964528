"""Tools for developers; none is part of the shipped file."""
