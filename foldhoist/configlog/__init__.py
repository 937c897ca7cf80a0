"""Configuration versions, their distribution, and evacuations; no I/O."""
