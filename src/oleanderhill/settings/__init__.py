"""Settings: schema, validation, replication between entry hosts, and the state in force."""
