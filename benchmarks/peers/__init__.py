"""What the exchange among entry instances costs: bytes, processor time, memory."""
