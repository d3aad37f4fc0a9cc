"""Jobs of steps on upstream hosts that are shared through a platform's store."""
