"""Keys of the gRPC metadata that peers send with each call."""

#: Node name of the calling peer, by which blocked links are recognised.
NODE_KEY = 'x-node'
#: Trace context of the call in the W3C format; absent outside a span.
TRACE_KEY = 'traceparent'
