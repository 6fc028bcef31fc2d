"""Names of the sums of reports, as reporters beside the nodes."""

# Name of the whole fleet in place of that of a data centre.
WHOLE_FLEET = ""


def sum_name(data_centre: str) -> str:
    """Return the peer name under which the sum of a data centre is stored."""
    return f"sums of {data_centre}"
