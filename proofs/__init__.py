"""History checks of the promises that the tier makes."""
