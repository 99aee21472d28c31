"""Parts that the cases of the review share: a small deployment with stand-ins around it."""
