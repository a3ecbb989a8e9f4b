"""Keys of the gRPC metadata between peers."""

#: Node name of the caller.
NODE_KEY = 'x-node'
#: Trace context of the call.
TRACE_KEY = 'traceparent'
