"""Fleet-wide rate limits of teams."""
