"""What the entry VMs tell each other, and run for each other."""
