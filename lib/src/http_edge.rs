//! What the HTTP clients of all edges share: agents, time limits and error mapping.
