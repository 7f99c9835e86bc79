export * from "./block_pool.js";
export * from "./body_reader.js";
export * from "./bound_server.js";
export * from "./caller_memory.js";
export * from "./choose_connection.js";
export * from "./choose_eviction.js";
export * from "./discarded_messages.js";
export * from "./eviction_log.js";
