"""What the operators allow after a request has crashed upstreams."""

# From 3 s after the third crash, three more retries may reach upstreams.
TOLERATED_CRASHES = 3
STABLE_S = 3.0
ALLOWED_RETRIES = 3
