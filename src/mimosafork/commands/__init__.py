"""One module a command, each with its ``app``; imported when it is used."""
