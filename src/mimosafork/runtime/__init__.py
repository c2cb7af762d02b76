"""Tasks that own their state and talk by messages, and the kernel's own task."""
