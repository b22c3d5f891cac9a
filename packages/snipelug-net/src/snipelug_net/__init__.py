"""HTTP and RPC transports for trio, shared by the node, the CLI and the stand-ins."""
