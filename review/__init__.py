"""Cases of the independent review; each folder shows one fault."""
