"""The settings: their schema, their writes, the view in force."""
