"""The entry process: callers, admission, attempts and answers."""
