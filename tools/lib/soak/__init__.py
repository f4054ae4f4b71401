"""The fault soak of tools/fault-soak: real nodes as processes, faults from outside, promises checked
from what callers, backend servers and the platform see. The stand-ins speak the published protocol
of the platform; each module holds one of them."""
