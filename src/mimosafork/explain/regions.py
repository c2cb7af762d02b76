"""Causes of calls that their home regions left nowhere to run."""

from .lines import LogLine

NO_HOME_ENDPOINT = "no-home-endpoint"


def outside_regions(end: LogLine) -> str:
    """Tell which restriction refused a call, and by what its instance decided."""
    return (
        f"told {end.text('status')} by {end.text('rule')}: {end.text('detail')} "
        f"({regions_text(end)}); in all regions it knew {end.text('usable')} usable of "
        f"{end.text('listed')} endpoints, the listing {end.text('listing_age_ms')} ms "
        f"old, the configuration {end.text('table_age_ms')} ms old"
    )


def regions_text(end: LogLine) -> str:
    """Return the home regions of a call at its arrival."""
    if end.fields.get("home_regions") is None:
        return "restricted by a configuration that is newer than its arrival"
    names = end.names("home_regions")
    return "home regions: " + (", ".join(names) if names else "none")
