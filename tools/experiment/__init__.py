"""Compare checkouts on the users' bench, play by play."""
