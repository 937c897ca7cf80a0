"""Small stand-ins for what lies outside the project: platform, upstream, fault proxy."""
