export * from "./config_sync_host.js";
export * from "./instance_list_client.js";
export * from "./instance_list_error.js";
export * from "./instance_list_host.js";
export * from "./peer_transport.js";
export * from "./sync_reporter.js";
export * from "./system_timers.js";
export * from "./timers.js";
