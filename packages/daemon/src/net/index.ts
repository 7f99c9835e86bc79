export * from "./disposable.js";
export * from "./emitter.js";
export * from "./handshake.js";
export * from "./inbound_connections.js";
export * from "./peer_connection.js";
export * from "./peer_dialer.js";
export * from "./peer_server.js";
export * from "./traffic_meter.js";
